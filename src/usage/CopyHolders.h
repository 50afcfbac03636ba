#pragma once

#include <vector>

#include "lagoonspoke/core/Ids.h"

namespace lagoonspoke {

struct CopyHolderCandidate {
    InstanceId instance;
    DataCentreId dataCentre;
    RegionId region;
};

// Up to two live peers that hold copies of an instance's usage: in two other data centres where there are such, those
// of the same region first. The choice changes only when one of the chosen does.
std::vector<InstanceId> chooseCopyHolders(
    const CopyHolderCandidate& self, const std::vector<CopyHolderCandidate>& livePeers);

} // namespace lagoonspoke
