#pragma once

#include "dispatch/queue/DispatchState.h"

namespace lagoonspoke {

// Admission control: queues placement requests or refuses those that waiting would not help: quarantined fingerprint,
// exhausted retry budget, team limit, no server, deadline too short. Owned by the PolicyDispatcher.
class Admission {
public:
    explicit Admission(DispatchState& state)
        : m_state(state)
    {
    }

    // Admits or refuses a new request from an entry. "revoked" is set when the request was placed before and its grant
    // was revoked; the retry budget and the team limits are then not applied again.
    void accept(const InstanceId& entry, const DataCentreId&, const PlaceRequest&, bool revoked, MonotonicTime now);
    // Queues a request that an earlier dispatcher had accepted. The retry budget and team limits are not applied again.
    void restore(const InstanceId& entry, const DataCentreId&, const PlaceRequest&, MonotonicTime now);
    // Creates the waiting request of a placement request, with its predicted cost and latest start. Charges nothing.
    WaitingPtr makeWaiting(const InstanceId&, const DataCentreId&, const PlaceRequest&, MonotonicTime now) const;
    // Refuses the waiting requests of a quarantined fingerprint; otherwise moves them from the queues to the suspects.
    void applyFingerprintState(Fingerprint, MonotonicTime now);
    // The same for the waiting requests with one of the prompt parts; moves those back that are no longer suspect.
    void applyPartState(const PartQuarantine::Parts&, MonotonicTime now);

private:
    bool refuseIfInadmissible(const WaitingRequest&, bool revoked, MonotonicTime now);
    void enqueue(WaitingPtr, MonotonicTime now);
    void addSuspect(WaitingPtr);
    void refuseQuarantined(const TierQueue::WaitingPredicate&, MonotonicTime now);
    void moveToSuspects(const TierQueue::WaitingPredicate&, bool needsIsolation);
    void returnClearedSuspects(MonotonicTime now);

    DispatchState& m_state;
};

} // namespace lagoonspoke
