#pragma once

#include "core/TokenBucket.h"
#include "dispatch/DispatchState.h"

namespace lagoonspoke {

// Takes slots back from lower tiers when a higher one would miss its latency target: the lowest tier first, only
// idempotent work, at a bounded rate. Owned by the PolicyDispatcher.
class Preemptor {
public:
    explicit Preemptor(DispatchState&);

    void preemptForHigherTiers(MonotonicTime now);
    // A slot that was taken back became free, or its request ended first.
    void notePreemptionFinished() { m_pendingPreemptions = m_pendingPreemptions > 0 ? m_pendingPreemptions - 1 : 0; }

private:
    // Slots that the tier's waiting requests need beyond those that become free in time.
    int slotShortage(Tier, int waiting, MonotonicTime now);
    bool preemptBelow(Tier);

    DispatchState& m_state;
    TokenBucket m_rate;
    int m_pendingPreemptions = 0;
};

} // namespace lagoonspoke
