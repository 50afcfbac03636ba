#pragma once

#include <map>
#include <vector>

#include "lagoonspoke/core/Ids.h"

namespace lagoonspoke {

// What one dispatcher measures of its domain for the planning of backend servers.
struct DomainLoad {
    DomainId domain;
    double slots = 0; // running and waiting requests
    double protectedSlots = 0; // part of them in the highest tier
    std::map<BackendServerId, int> busy; // granted requests by backend server
    // Averages over the last seconds; 0 while too little was measured.
    double meanRequests = 0; // running and waiting
    double readingServers = 0; // backend servers that reading prompts keeps busy

    bool operator==(const DomainLoad&) const = default;
};

} // namespace lagoonspoke
