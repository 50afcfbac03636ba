#pragma once

#include "dispatch/queue/DispatchState.h"

namespace lagoonspoke {

// Refuses waiting requests early when they are expected to miss their deadline or their queue exceeds its limit: from
// the lowest tier up, and within a tier from the team furthest over its share. A tier's request is refused for its
// predicted wait only if no lower tier has requests waiting beyond its guaranteed share, which are refused first, or
// runs a request that can be preempted. Owned by the PolicyDispatcher.
class Shedder {
public:
    explicit Shedder(DispatchState& state)
        : m_state(state)
    {
    }

    // Refuses requests whose predicted wait is too long; returns at once if the last run was very recent.
    void run(MonotonicTime now);
    // Refuses one request if a class's queue exceeds its limit; called after each addition to it.
    void enforceQueueLimit(Tier, const ClassName&, MonotonicTime now);
    // Refuses queued and suspect requests that can no longer meet their deadline.
    void dropExpired(MonotonicTime now);

private:
    void shedTier(Tier, MonotonicTime now);
    // Refuses one request of the lowest tier below the given one that waits beyond its guaranteed share.
    bool shedLowerTier(Tier, MonotonicTime now);
    // Whether the tier's guaranteed share alone is expected to serve its queue in time for the victim; always true for
    // the only request of a queue.
    bool isProtected(Tier, const TierQueue&, const WaitingRequest& victim, MonotonicTime now);
    Duration retryAfter(Tier, const WaitingRequest&, MonotonicTime now);

    DispatchState& m_state;
    MonotonicTime m_lastRun {};
};

} // namespace lagoonspoke
