#include "lease/LeaseCandidacy.h"

#include <algorithm>
#include <tuple>

#include "lagoonspoke/core/Digest.h"

namespace lagoonspoke {

std::optional<std::size_t> rankCandidate(const std::string& lease, const std::optional<DataCentreId>& preferred,
    const InstanceId& instance, const std::vector<LeaseCandidate>& live)
{
    auto sortKeyOf = [&](const LeaseCandidate& it) {
        bool outsidePreferred = preferred && it.dataCentre != *preferred;
        return std::tuple(outsidePreferred, stableHash(lease + "\n" + it.instance.value()), it.instance);
    };
    auto self = std::find_if(live.begin(), live.end(), [&](const auto& it) { return it.instance == instance; });
    if (self == live.end()) {
        return std::nullopt;
    }
    auto selfKey = sortKeyOf(*self);
    return static_cast<std::size_t>(
        std::count_if(live.begin(), live.end(), [&](const auto& it) { return sortKeyOf(it) < selfKey; }));
}

} // namespace lagoonspoke
