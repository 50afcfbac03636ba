#pragma once

#include "dispatch/queue/Admission.h"
#include "dispatch/queue/DeathConfirmation.h"
#include "dispatch/queue/DispatchState.h"
#include "dispatch/queue/GrantScheduler.h"
#include "dispatch/queue/Preemptor.h"

namespace lagoonspoke {

// Tracks granted requests from their progress reports to their end: corrects token charges, updates server
// measurements, counts server deaths, expires unused grants, and restores grants of an earlier dispatcher. Owned by the
// PolicyDispatcher.
class GrantTracker {
public:
    GrantTracker(DispatchState&, Admission&, GrantScheduler&, Preemptor&);

    void apply(const Progress&, MonotonicTime now);
    // Restores a grant of another dispatcher from an entry's resync. A grant that is already known is ignored.
    void restore(const InstanceId& entry, const DataCentreId&, const HeldGrant&, MonotonicTime now);
    // Ends a grant without an outcome: its entry placed the request again, withdrew it or was lost, or the grant
    // expired for good. Returns whether the grant had been revoked.
    bool endWithoutOutcome(const RequestId&, MonotonicTime now);
    // Frees the slots of grants that were not used in time, and forgets deaths that nothing confirmed.
    void expire(MonotonicTime now);
    // Clears the suspect prompt parts of requests whose answers have begun for long enough.
    void clearAnsweredParts(MonotonicTime now);
    // Revokes unstarted grants on servers that are leaving or gone.
    void revokeOnClosedServers();
    // Recomputes the slots in use from the grants after the list of servers changed.
    void recountSlots();

    // Removes the record of a recent revocation and returns whether there was one. The new placement of such a request
    // does not count as a retry.
    bool consumeRevocation(const RequestId&, MonotonicTime now);

private:
    void observe(GrantedRequest&, const Progress&, MonotonicTime now);
    void finish(const Progress&, MonotonicTime now);
    void settleCharge(const GrantedRequest&, const Progress&, MonotonicTime now);
    void recordOutcome(const GrantedRequest&, FinishOutcome, MonotonicTime now);
    void recordDeath(const GrantedRequest&, ServerState&, MonotonicTime now);
    void recordDisconnection(const GrantedRequest&, ServerState&, MonotonicTime now);
    void recordPartsOfDead(const GrantedRequest&, bool newDeath, MonotonicTime now);
    void recordPartsAnswered(const GrantedRequest&, MonotonicTime now);
    void publishPartQuarantine(Fingerprint part, MonotonicTime now);
    void charge(GrantedRequest&, std::int64_t tokens, MonotonicTime now);
    void release(const GrantedRequest&);

    DispatchState& m_state;
    Admission& m_admission;
    GrantScheduler& m_scheduler;
    Preemptor& m_preemptor;
    // Requests that ended after a revocation, with the time at which the record expires.
    absl::flat_hash_map<RequestId, MonotonicTime> m_revoked;
    DeathConfirmation m_deaths;
};

} // namespace lagoonspoke
