#pragma once

#include "core/TokenBucket.h"
#include "dispatch/servers/RequestLimit.h"

namespace lagoonspoke {

// Keeps a dispatcher's grants to a backend server within the request limit that the server names. Every grant counts,
// as each leads to a request at the server. Owned by a ServerState.
class RequestLimiter {
public:
    RequestLimiter();

    // See RequestLimit.
    bool recordAnswer(const std::optional<RequestRate>&, MonotonicTime grantedAt, MonotonicTime now);
    bool recordReport(RequestRate, MonotonicTime heardAt, MonotonicTime now);
    void recordGrant(MonotonicTime now);

    const std::optional<RequestRate>& rate() const { return m_limit.rate(); }
    // Whether the limit leaves room for a request.
    bool hasRoom(MonotonicTime now);
    // Time until a request may be granted that comes after the given number of others.
    Duration waitBehind(int others, MonotonicTime now);

private:
    void applyRate(bool wasLimited, MonotonicTime now);

    RequestLimit m_limit;
    TokenBucket m_bucket;
};

} // namespace lagoonspoke
