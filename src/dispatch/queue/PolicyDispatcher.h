#pragma once

#include <optional>
#include <vector>

#include "dispatch/queue/Admission.h"
#include "dispatch/queue/DispatchState.h"
#include "dispatch/queue/GrantScheduler.h"
#include "dispatch/queue/GrantTracker.h"
#include "dispatch/queue/Preemptor.h"
#include "dispatch/queue/Shedder.h"

namespace lagoonspoke {

// The product's own policy: passes the events of one domain to admission, scheduling, preemption and shedding. Owned by
// the Dispatcher.
class PolicyDispatcher {
public:
    PolicyDispatcher(const DomainId&, const DispatchOptions&);

    std::vector<DispatchAction> handle(const DispatchEvent&, MonotonicTime now);
    std::vector<DispatchAction> advance(MonotonicTime now);
    std::optional<MonotonicTime> nextWakeup() const;
    const DispatchCounters& counters() const { return m_state.counters; }
    DispatchLoad load() const;
    DispatchSummary summarize() const;

private:
    void configure(const Configuration&);
    void recordTime(MonotonicTime now);
    void accept(const EntryMessageReceived&, MonotonicTime now);
    void place(const InstanceId& entry, const DataCentreId&, const PlaceRequest&, MonotonicTime now);
    void withdraw(const RequestId&, MonotonicTime now);
    void resync(const DataCentreId&, const Resync&, MonotonicTime now);
    // Restores what is known of the servers' prompt caches from an entry's records, after a takeover.
    void restorePromptCaches(const std::vector<ReadPart>&, MonotonicTime now);
    void loseEntry(const InstanceId&, MonotonicTime now);
    void replaceServers(const std::vector<BackendServer>&, MonotonicTime now);
    void applyReport(const LoadReported&, MonotonicTime now);
    void applyCacheEvents(const CacheEventsReported&);
    void refuseWithoutServers(MonotonicTime now);
    void publishFloor(MonotonicTime now);
    std::size_t waitingCount() const;
    void recordLoad(MonotonicTime now);
    // The lowest tier that this dispatcher currently admits, regardless of other dispatchers' floors.
    Tier ownFloor(MonotonicTime now) const;

    TargetName m_target;
    DispatchState m_state;
    Admission m_admission;
    GrantScheduler m_scheduler;
    Preemptor m_preemptor;
    Shedder m_shedder;
    GrantTracker m_tracker;
    bool m_started = false;
    bool m_hasBoundRequests = false; // some may wait that only servers of one software version may run
    MonotonicTime m_lastRateUpdate {};
    MonotonicTime m_lastAdvance {};
    MonotonicTime m_lastSchedulerRun {};
    Duration m_schedulerInterval {}; // between scheduler runs while many requests wait
};

} // namespace lagoonspoke
