#pragma once

#include <string>

#include "lagoonspoke/core/Ids.h"

namespace lagoonspoke {

// A backend server, as listed by the platform's instance list.
struct BackendServer {
    BackendServerId id;
    DataCentreId dataCentre;
    TargetName target; // the model or plain service it runs
    std::string address; // IP:port
    int slots = 8; // concurrent requests
    bool cheap = false; // the platform may evict it at any time
    bool leaving = false;

    bool operator==(const BackendServer&) const = default;
};

} // namespace lagoonspoke
