#pragma once

#include <functional>
#include <map>
#include <set>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "dispatch/WaitingRequest.h"

namespace lagoonspoke {

// The waiting requests of one tier. Among teams, the smallest virtual token counter goes first; among teams less than
// one request apart, and within a team, the earliest latency target does. Requests whose target can no longer be met
// come after those of the same team that still can: serving them first would make every request of an overloaded team
// late. Owned by the dispatcher's scheduler.
class TierQueue {
public:
    using WaitingPredicate = std::function<bool(const WaitingRequest&)>;

    void add(WaitingPtr, double weight);
    WaitingPtr remove(const RequestId&);
    // The request to serve next that the caller accepts, looking at a bounded number of teams; null if none.
    const WaitingRequest* pick(MonotonicTime now, Duration firstTokenTime, const WaitingPredicate&);
    // The request to refuse first: the last one of the team furthest over its share, what it has waiting included;
    // null if empty.
    const WaitingRequest* pickVictim() const;
    // Like pickVictim, among one class.
    const WaitingRequest* pickVictim(const ClassName&) const;

    // Charges tokens to the team's counter; a negative amount settles an earlier charge.
    void charge(const TeamId&, double weight, std::int64_t tokens);
    // Virtual counter of the team, for tests and measurements.
    double counter(const TeamId&) const;

    std::size_t size() const { return m_byRequest.size(); }
    bool contains(const RequestId& request) const { return m_byRequest.contains(request); }
    std::size_t sizeOf(const ClassName&) const;
    // Waiting requests by class; ordered, so that sums over them do not depend on hashes.
    const std::map<ClassName, std::size_t>& classes() const { return m_byClass; }
    std::size_t teamCount() const { return m_teams.size(); }
    std::int64_t waitingCost() const { return m_waitingCost; }
    MonotonicTime earliestLatestStart() const;
    // Requests that can no longer meet their deadline.
    std::vector<RequestId> expired(MonotonicTime now) const;
    std::vector<RequestId> requestsWhere(const WaitingPredicate&) const;
    // Arrival of the longest-waiting request at this dispatcher; the queue must not be empty.
    MonotonicTime oldestArrival() const;

private:
    using Order = std::multimap<MonotonicTime, WaitingPtr>;
    struct Team {
        double counter = 0;
        double weight = 1;
        double waitingCost = 0; // by weight
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
    void demoteLateRequests(Team&, MonotonicTime now, Duration firstTokenTime);
    // Changes a team's place in the orders of active teams.
    void reorder(const TeamId&, Team&, double counter, double waitingCost);
    void removeIdleTeams();

    absl::flat_hash_map<TeamId, std::unique_ptr<Team>> m_teams;
    // Teams with waiting requests, by counter.
    std::set<std::pair<double, TeamId>> m_active;
    // The same teams by the counter that they would have if all their waiting requests were served.
    std::set<std::pair<double, TeamId>> m_byProjectedCounter;
    absl::flat_hash_map<RequestId, QueuePosition> m_byRequest;
    std::map<ClassName, std::size_t> m_byClass;
    std::multiset<MonotonicTime> m_latestStarts;
    std::multiset<MonotonicTime> m_arrivals;
    double m_virtualTime = 0; // smallest active counter seen last
    std::int64_t m_waitingCost = 0;
};

} // namespace lagoonspoke
