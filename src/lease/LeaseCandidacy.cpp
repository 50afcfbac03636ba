#include "lease/LeaseCandidacy.h"

#include <algorithm>
#include <tuple>

#include "lagoonspoke/core/Digest.h"

namespace lagoonspoke {

namespace {

auto sortKeyOf(const std::string& lease, const std::optional<DataCentreId>& preferred, const LeaseCandidate& candidate)
{
    bool outsidePreferred = preferred && candidate.dataCentre != *preferred;
    return std::tuple(outsidePreferred, stableHash(lease + "\n" + candidate.instance.value()), candidate.instance);
}

} // namespace

std::optional<std::size_t> rankCandidate(const std::string& lease, const std::optional<DataCentreId>& preferred,
    const InstanceId& instance, const std::vector<LeaseCandidate>& live)
{
    auto self = std::find_if(live.begin(), live.end(), [&](const auto& it) { return it.instance == instance; });
    if (self == live.end()) {
        return std::nullopt;
    }
    auto selfKey = sortKeyOf(lease, preferred, *self);
    return static_cast<std::size_t>(std::count_if(
        live.begin(), live.end(), [&](const auto& it) { return sortKeyOf(lease, preferred, it) < selfKey; }));
}

std::vector<InstanceId> listCandidates(const std::string& lease, const std::optional<DataCentreId>& preferred,
    std::vector<LeaseCandidate> live, std::size_t most)
{
    std::ranges::sort(live, {}, [&](const LeaseCandidate& it) { return sortKeyOf(lease, preferred, it); });
    std::vector<InstanceId> first;
    for (std::size_t i = 0; i < std::min(most, live.size()); ++i) {
        first.push_back(live[i].instance);
    }
    return first;
}

} // namespace lagoonspoke
