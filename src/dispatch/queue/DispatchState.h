#pragma once

#include <list>
#include <map>
#include <vector>

#include "dispatch/DispatchCounters.h"
#include "dispatch/DispatchOptions.h"
#include "dispatch/Dispatcher.h"
#include "dispatch/placement/ServerSelector.h"
#include "dispatch/queue/AdmissionFloors.h"
#include "dispatch/queue/DispatchRetryBudget.h"
#include "dispatch/queue/GrantTable.h"
#include "dispatch/queue/LengthPredictor.h"
#include "dispatch/queue/LoadMeter.h"
#include "dispatch/queue/TeamLimiter.h"
#include "dispatch/queue/TierQueue.h"
#include "dispatch/queue/TierShares.h"
#include "dispatch/servers/PartQuarantine.h"
#include "dispatch/servers/Quarantine.h"
#include "dispatch/servers/ServerPool.h"
#include "dispatch/servers/ServiceTimes.h"

namespace lagoonspoke {

// The state of one domain that the parts of the policy share. Owned by the PolicyDispatcher; not movable, as members
// refer to each other.
struct DispatchState {
    explicit DispatchState(const DispatchOptions&);
    DispatchState(const DispatchState&) = delete;
    DispatchState& operator=(const DispatchState&) = delete;

    double weightOf(const TeamId&) const;
    const TeamSpec* findTeam(const TeamId&) const;
    ClassSpec classOf(const PlaceRequest&) const;
    TierQueue& queueOf(Tier tier) { return queues[tier]; }
    // Remaining time of the longest quarantine that covers the request; empty if none does.
    std::optional<Duration> remainingQuarantine(const PlaceRequest&, MonotonicTime now) const;
    bool hasSuspectPart(const PlaceRequest&, MonotonicTime now) const;
    bool isSettling(MonotonicTime now) const { return now < startedAt + options.settlingPeriod; }

    // Removes a waiting request from its tier's queue or the suspects; null if it is in neither.
    WaitingPtr removeWaiting(const RequestId&);
    bool isWaiting(const RequestId&) const;
    // Sends a refusal. The request must have been removed from its queue.
    void refuse(const WaitingRequest&, RefusalCode, Duration retryAfter);
    // Removes a waiting request and refuses it.
    void drop(const RequestId&, RefusalCode, Duration retryAfter);
    // Frees the slot of a grant that ended. The caller must remove the grant from the table or clear its holdsSlot, so
    // that the slot is not freed twice.
    void freeSlot(const GrantedRequest&);

    // Predicted seconds until the last waiting request of the tier is granted: until a slot is free for it or, with
    // engines whose prompts are known, until they have read the prompts ahead of it.
    double predictedWait(Tier, MonotonicTime now);
    // The same for one resource: the work ahead, what is done of it in a second, and the work of a request by class or
    // by tier.
    double predictedWaitFor(Tier, double work, double rate, const auto& workOf, MonotonicTime now);

    DispatchOptions options;
    SnapshotPtr snapshot;
    bool isPlainService = false; // its answers have no output tokens to predict
    MonotonicTime startedAt {};
    std::map<Tier, TierQueue> queues;
    // Waiting requests that are suspected, themselves or a part of their prompt; ordered by tier, then by time.
    std::list<WaitingPtr> suspects;
    TierShares shares;
    ServerPool pool;
    ServerSelector selector;
    GrantTable grants;
    ServiceTimes times;
    LengthPredictor lengths;
    LoadMeter load;
    TeamLimiter limiter;
    Quarantine quarantine;
    PartQuarantine partQuarantine;
    DispatchRetryBudget retryBudget;
    AdmissionFloors floors;
    DispatchCounters counters;
    std::vector<DispatchAction> actions; // results of the event being handled
};

} // namespace lagoonspoke
