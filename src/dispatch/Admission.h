#pragma once

#include "dispatch/DispatchState.h"

namespace lagoonspoke {

// Takes placement requests into the queue or refuses them for reasons that no waiting would cure: quarantine, retry
// budget, team limits, no server, a deadline too short. Owned by the PolicyDispatcher.
class Admission {
public:
    explicit Admission(DispatchState& state)
        : m_state(state)
    {
    }

    // A request that an entry asks for now. "Revoked" tells that it comes back because its grant was taken back.
    void accept(const InstanceId& entry, const DataCentreId&, const PlaceRequest&, bool revoked, MonotonicTime now);
    // A request that another dispatcher had accepted: it was charged and counted there.
    void restore(const InstanceId& entry, const DataCentreId&, const PlaceRequest&, MonotonicTime now);
    // Charges a grant that another dispatcher made to the team's concurrency only.
    WaitingPtr makeWaiting(const InstanceId&, const DataCentreId&, const PlaceRequest&, MonotonicTime now) const;
    // Moves waiting requests of a fingerprint that became suspect, or refuses them when it is quarantined.
    void applyFingerprintState(Fingerprint, MonotonicTime now);

private:
    bool refuseIfInadmissible(const WaitingRequest&, bool revoked, MonotonicTime now);
    void enqueue(WaitingPtr, MonotonicTime now);
    void addSuspect(WaitingPtr);

    DispatchState& m_state;
};

} // namespace lagoonspoke
