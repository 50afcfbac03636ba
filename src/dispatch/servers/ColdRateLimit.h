#pragma once

#include <optional>

#include "core/TokenBucket.h"
#include "lagoonspoke/core/Units.h"
#include "lagoonspoke/dispatch/BackendServer.h"

namespace lagoonspoke {

// Keeps a dispatcher's grants to one backend server within what the server tolerates while it is cold. A server may
// become cold at any moment and is known to be so only a second or more later, so the limit also holds, at a higher
// rate, for a server that is not known to be cold. Every grant counts, as each leads to a request at the server.
// It starts without any allowance: what the server got before, from another dispatcher, is not known.
// Owned by a ServerState.
class ColdRateLimit {
public:
    ColdRateLimit();

    // The share is that of the known instances that this dispatcher is connected to, 0 to 1. Dispatchers on two sides
    // of a partition together keep to the limit, as each uses its share of it.
    void update(const BackendServer&, double connectedShare, MonotonicTime now);
    void recordGrant(MonotonicTime now);

    // Grants per second; empty without a limit.
    std::optional<RequestRate> rate() const { return m_rate; }
    bool hasRoom(MonotonicTime now);
    // Time until a request may be granted that comes after the given number of others.
    Duration waitBehind(int others, MonotonicTime now);

    // Requests per second that all instances together may send to the server by local placement; empty without a limit.
    static std::optional<RequestRate> localRate(const BackendServer&, MonotonicTime now);

private:
    std::optional<RequestRate> m_rate;
    double m_burst = 0;
    TokenBucket m_bucket;
};

} // namespace lagoonspoke
