#pragma once

#include "dispatch/Admission.h"
#include "dispatch/DispatchState.h"
#include "dispatch/GrantScheduler.h"
#include "dispatch/Preemptor.h"

namespace lagoonspoke {

// Follows granted requests from their reports to their end: settles token charges, measures servers, counts deaths,
// lets unused grants expire, and takes over grants of an earlier dispatcher. Owned by the PolicyDispatcher.
class GrantTracker {
public:
    GrantTracker(DispatchState&, Admission&, GrantScheduler&, Preemptor&);

    void apply(const Progress&, MonotonicTime now);
    // Takes over a grant that another dispatcher made; repeated ones count once.
    void restore(const InstanceId& entry, const DataCentreId&, const HeldGrant&, MonotonicTime now);
    // Ends a grant without an outcome: its entry asked again or was lost. True if it had been revoked.
    bool end(const RequestId&, MonotonicTime now);
    // Frees the slots of grants that were not used in time.
    void expire(MonotonicTime now);
    // Takes back unstarted grants on servers that leave or are gone.
    void revokeOnLeavingServers();
    // Counts the slots in use again from the grants, after the list of servers changed.
    void recountSlots();

    // Whether the request's grant was taken back a short time ago, so that it comes back without a retry.
    bool consumeRevocation(const RequestId&, MonotonicTime now);

private:
    void observe(GrantedRequest&, const Progress&, MonotonicTime now);
    void finish(const Progress&, MonotonicTime now);
    void settleCharge(const GrantedRequest&, const Progress&, MonotonicTime now);
    void recordOutcome(const GrantedRequest&, FinishOutcome, MonotonicTime now);
    void recordDeath(const GrantedRequest&, ServerState&, MonotonicTime now);
    void charge(GrantedRequest&, std::int64_t tokens, MonotonicTime now);
    void release(const GrantedRequest&);

    DispatchState& m_state;
    Admission& m_admission;
    GrantScheduler& m_scheduler;
    Preemptor& m_preemptor;
    absl::flat_hash_map<RequestId, MonotonicTime> m_revoked; // ended after a revocation, with the time to forget
};

} // namespace lagoonspoke
