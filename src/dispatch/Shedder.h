#pragma once

#include "dispatch/DispatchState.h"

namespace lagoonspoke {

// Refuses waiting requests early when their deadline or their queue's bound cannot be met: from the lowest tier up,
// and within a tier from the team furthest over its share. Nothing is refused for capacity while a lower tier waits
// beyond its guaranteed share or holds a slot that could be taken back. Owned by the PolicyDispatcher.
class Shedder {
public:
    explicit Shedder(DispatchState& state)
        : m_state(state)
    {
    }

    void run(MonotonicTime now);
    // Applies the bound of a class's queue after a request was added to it.
    void enforceQueueLimit(Tier, const ClassName&, MonotonicTime now);
    // Refuses requests that can no longer meet their deadline.
    void dropExpired(MonotonicTime now);

private:
    void shedTier(Tier, MonotonicTime now);
    // Refuses one request of the lowest tier below the given one that waits beyond its guaranteed share.
    bool shedLowerTier(Tier, MonotonicTime now);
    bool isProtected(Tier, const TierQueue&, const WaitingRequest& victim, MonotonicTime now);
    Duration retryAfter(Tier, const WaitingRequest&, MonotonicTime now);

    DispatchState& m_state;
    MonotonicTime m_lastRun {};
};

} // namespace lagoonspoke
