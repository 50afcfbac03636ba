#pragma once

#include <optional>
#include <string>
#include <vector>

#include "lagoonspoke/core/Ids.h"

namespace lagoonspoke {

struct LeaseCandidate {
    InstanceId instance;
    DataCentreId dataCentre;
};

// Returns the zero-based rank of an instance among the live candidates for a lease: candidates of the preferred data
// centre come first, then the order is by hash of lease and instance. Returns nullopt if the instance is not live.
std::optional<std::size_t> rankCandidate(const std::string& lease, const std::optional<DataCentreId>& preferred,
    const InstanceId&, const std::vector<LeaseCandidate>& live);

// The first candidates, at most the given number, in the order of their ranks.
std::vector<InstanceId> listCandidates(const std::string& lease, const std::optional<DataCentreId>& preferred,
    std::vector<LeaseCandidate> live, std::size_t most);

} // namespace lagoonspoke
