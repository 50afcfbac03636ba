#pragma once

#include "core/TokenBucket.h"
#include "dispatch/queue/DispatchState.h"

namespace lagoonspoke {

// Preempts grants of lower tiers when a higher tier would miss its latency target: lowest tier first, only idempotent
// requests, at a limited rate. Owned by the PolicyDispatcher.
class Preemptor {
public:
    explicit Preemptor(DispatchState&);

    void preemptForHigherTiers(MonotonicTime now);
    // Called when a preempted request has ended, whether by the preemption or by itself.
    void notePreemptionFinished() { m_pendingPreemptions = m_pendingPreemptions > 0 ? m_pendingPreemptions - 1 : 0; }

private:
    // Slots that the waiting requests of this and higher tiers need beyond those that are or become free in time.
    int slotShortage(Tier, int waiting, MonotonicTime now);
    bool preemptBelow(Tier);

    DispatchState& m_state;
    TokenBucket m_rateLimiter;
    int m_pendingPreemptions = 0;
};

} // namespace lagoonspoke
