#include "usage/CopyHolders.h"

#include <algorithm>
#include <optional>
#include <tuple>

#include "lagoonspoke/core/Digest.h"

namespace lagoonspoke {

std::vector<InstanceId> chooseCopyHolders(
    const CopyHolderCandidate& self, const std::vector<CopyHolderCandidate>& livePeers)
{
    std::vector<InstanceId> chosen;
    std::optional<DataCentreId> first;
    while (chosen.size() < 2) {
        const CopyHolderCandidate* best = nullptr;
        auto keyOf = [&](const CopyHolderCandidate& it) {
            bool shared = it.dataCentre == self.dataCentre || it.dataCentre == first;
            auto hash = stableHash(self.instance.value() + "\n" + it.instance.value());
            return std::tuple(shared, it.region != self.region, hash, it.instance);
        };
        for (const auto& it : livePeers) {
            bool taken
                = it.instance == self.instance || std::find(chosen.begin(), chosen.end(), it.instance) != chosen.end();
            if (!taken && (best == nullptr || keyOf(it) < keyOf(*best))) {
                best = &it;
            }
        }
        if (best == nullptr) {
            break;
        }
        chosen.push_back(best->instance);
        first = best->dataCentre;
    }
    return chosen;
}

} // namespace lagoonspoke
