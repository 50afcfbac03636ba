#pragma once

#include <optional>
#include <string>

#include "lagoonspoke/core/Ids.h"
#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// The requests that a cold backend server tolerates from all instances together.
struct ColdTolerance {
    double requestsPerSecond = 0; // sustained
    double requestsInOneSecond = 0; // in any one second; with more it may crash

    bool operator==(const ColdTolerance&) const = default;
};

// A backend server, as listed by the platform's instance list.
struct BackendServer {
    BackendServerId id;
    DataCentreId dataCentre;
    TargetName target; // the model or plain service it runs
    std::string address; // IP:port
    int slots = 8; // concurrent requests
    bool cheap = false; // the platform may evict it at any time
    bool leaving = false;
    // The list no longer names it, but may do so again in a moment, as after an outage of the list's store.
    bool lapsed = false;
    SoftwareVersion softwareVersion {};
    // An operator asked that nothing more be sent to the servers of its data centre, until that is taken back.
    bool evacuated = false;
    // The server is cold until then: it has just started, or lost what makes it fast.
    MonotonicTime coldUntil {};
    // Absent for a server that is never cold, or tolerates any rate.
    std::optional<ColdTolerance> coldTolerance {};

    // Whether new requests may be sent to it at all.
    bool isOpen() const { return !leaving && !evacuated; }

    bool operator==(const BackendServer&) const = default;
};

// Whether the server may run a request that is bound to the version, if to any.
inline bool fitsVersion(const BackendServer& server, const std::optional<SoftwareVersion>& version)
{
    return !version || server.softwareVersion == *version;
}

} // namespace lagoonspoke
