#pragma once

#include <functional>
#include <map>
#include <set>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "dispatch/placement/WaitingRequest.h"

namespace lagoonspoke {

// The waiting requests of one tier, in weighted fair order: the team with the smallest virtual token counter goes
// first. Among teams whose counters differ by less than the cost of one request, and within a team, the earliest
// latency target goes first. Requests that can no longer meet their target come after those of the same team that can:
// serving them first would make every request of an overloaded team late. Owned by DispatchState.
class TierQueue {
public:
    using WaitingPredicate = std::function<bool(const WaitingRequest&)>;

    void add(WaitingPtr, double weight);
    WaitingPtr remove(const RequestId&);
    // The next request to serve that satisfies the predicate. Scans a limited number of teams and of requests of each;
    // null if none of these satisfies it.
    const WaitingRequest* pick(MonotonicTime now, Duration firstTokenTime, const WaitingPredicate&);
    // The request to refuse first: the last one of the team whose counter would be largest after all its waiting
    // requests; null if the queue is empty.
    const WaitingRequest* pickVictim() const;
    // The same among the requests of one class.
    const WaitingRequest* pickVictim(const ClassName&) const;

    // Charges tokens to the team's counter; a negative amount refunds an earlier charge.
    void charge(const TeamId&, double weight, std::int64_t tokens);
    // Virtual counter of the team, for tests and measurements.
    double counter(const TeamId&) const;

    std::size_t size() const { return m_byRequest.size(); }
    bool contains(const RequestId& request) const { return m_byRequest.contains(request); }
    std::size_t sizeOf(const ClassName&) const;
    // Number of waiting requests by class; ordered, so that sums over them do not depend on the hash order.
    const std::map<ClassName, std::size_t>& classes() const { return m_byClass; }
    std::size_t teamCount() const { return m_teams.size(); }
    std::int64_t waitingCost() const { return m_waitingCost; }
    MonotonicTime earliestLatestStart() const;
    // Requests that can no longer meet their deadline, in order of their ids.
    std::vector<RequestId> expired(MonotonicTime now) const;
    std::vector<RequestId> requestsWhere(const WaitingPredicate&) const;
    // When the request that has waited longest arrived at this dispatcher; the queue must not be empty.
    MonotonicTime oldestArrival() const;

private:
    using Order = std::multimap<MonotonicTime, WaitingPtr>;
    struct Team {
        double counter = 0;
        double weight = 1;
        double waitingCost = 0; // divided by the weight
        double projectedCounter() const { return counter + waitingCost; }
        Order onTime; // by latency target
        Order late; // by latest start
    };
    struct QueuePosition {
        TeamId team;
        Order::iterator position;
    };

    static const WaitingRequest* firstAccepted(const Team&, const WaitingPredicate&);
    static const WaitingRequest* lastRequest(const Team&);
    // Moves requests that can no longer meet their target behind the others of the team.
    void demoteLateRequests(Team&, MonotonicTime now, Duration firstTokenTime);
    // Sets a team's counter and waiting cost, and updates its positions in the orders of active teams.
    void reorder(const TeamId&, Team&, double counter, double waitingCost);
    void removeIdleTeams();

    absl::flat_hash_map<TeamId, std::unique_ptr<Team>> m_teams;
    // Teams with waiting requests, by counter.
    std::set<std::pair<double, TeamId>> m_active;
    // The same teams by projected counter: the one that they would have once all their waiting requests are served.
    std::set<std::pair<double, TeamId>> m_byProjectedCounter;
    absl::flat_hash_map<RequestId, QueuePosition> m_byRequest;
    std::map<ClassName, std::size_t> m_byClass;
    std::multiset<MonotonicTime> m_latestStarts;
    std::multiset<MonotonicTime> m_arrivals;
    double m_virtualTime = 0; // the smallest active counter, or the last one if no team is active; never decreases
    std::int64_t m_waitingCost = 0;
};

} // namespace lagoonspoke
