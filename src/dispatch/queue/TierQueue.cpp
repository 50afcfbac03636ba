#include "dispatch/queue/TierQueue.h"

#include <algorithm>
#include <cassert>

namespace lagoonspoke {

namespace {

// Limits the work of one pick when the requests of many teams cannot be placed.
constexpr int maxTeamsScanned = 16;
// The same for the requests of each team.
constexpr int maxRequestsScanned = 8;
// Idle teams are removed in bulk, once the table has this many teams plus two for each active one.
constexpr std::size_t minTeamsForCleanup = 1024;

} // namespace

void TierQueue::add(WaitingPtr waiting, double weight)
{
    auto& slot = m_teams[waiting->place.team];
    if (!slot) {
        slot = std::make_unique<Team>();
    }
    auto& team = *slot;
    const auto id = waiting->place.team;
    team.weight = weight;
    auto counter = team.counter;
    if (team.onTime.empty() && team.late.empty()) {
        // A team accumulates no share while idle: it starts at the smallest active counter or above.
        counter = std::max(counter, m_active.empty() ? m_virtualTime : m_active.begin()->first);
        team.waitingCost = 0;
    }
    auto waitingCost = team.waitingCost + static_cast<double>(waiting->cost) / weight;
    m_latestStarts.insert(waiting->latestStart);
    m_arrivals.insert(waiting->queued);
    m_waitingCost += waiting->cost;
    ++m_byClass[waiting->place.className];
    auto request = waiting->place.request;
    auto& order = waiting->late ? team.late : team.onTime;
    auto key = waiting->late ? waiting->latestStart : waiting->target;
    auto position = order.emplace(key, std::move(waiting));
    m_byRequest.emplace(std::move(request), QueuePosition { id, position });
    reorder(id, team, counter, waitingCost);
    removeIdleTeams();
}

WaitingPtr TierQueue::remove(const RequestId& request)
{
    auto it = m_byRequest.find(request);
    if (it == m_byRequest.end()) {
        return nullptr;
    }
    auto [id, position] = it->second;
    m_byRequest.erase(it);
    auto& team = *m_teams.at(id);
    auto waiting = std::move(position->second);
    (waiting->late ? team.late : team.onTime).erase(position);
    m_latestStarts.erase(m_latestStarts.find(waiting->latestStart));
    m_arrivals.erase(m_arrivals.find(waiting->queued));
    m_waitingCost -= waiting->cost;
    if (auto byClass = m_byClass.find(waiting->place.className); --byClass->second == 0) {
        m_byClass.erase(byClass);
    }
    reorder(id, team, team.counter, team.waitingCost - static_cast<double>(waiting->cost) / team.weight);
    m_virtualTime = std::max(m_virtualTime, m_active.empty() ? team.counter : m_virtualTime);
    return waiting;
}

// The first request of a team may have to wait for a particular server while those behind it can start elsewhere.
const WaitingRequest* TierQueue::firstAccepted(const Team& team, const WaitingPredicate& predicate)
{
    int scanned = 0;
    for (const auto* order : { &team.onTime, &team.late }) {
        for (const auto& [key, waiting] : *order) {
            if (scanned++ == maxRequestsScanned) {
                return nullptr;
            }
            if (predicate(*waiting)) {
                return waiting.get();
            }
        }
    }
    return nullptr;
}

const WaitingRequest* TierQueue::lastRequest(const Team& team)
{
    return !team.late.empty() ? std::prev(team.late.end())->second.get() : std::prev(team.onTime.end())->second.get();
}

void TierQueue::demoteLateRequests(Team& team, MonotonicTime now, Duration firstTokenTime)
{
    while (!team.onTime.empty() && team.onTime.begin()->first < now + firstTokenTime) {
        auto waiting = std::move(team.onTime.begin()->second);
        team.onTime.erase(team.onTime.begin());
        waiting->late = true;
        auto& place = m_byRequest.at(waiting->place.request);
        auto latestStart = waiting->latestStart;
        place.position = team.late.emplace(latestStart, std::move(waiting));
    }
}

const WaitingRequest* TierQueue::pick(MonotonicTime now, Duration firstTokenTime, const WaitingPredicate& predicate)
{
    const WaitingRequest* best = nullptr;
    double limit = 0;
    int scanned = 0;
    for (const auto& [counter, id] : m_active) {
        if (++scanned > maxTeamsScanned || (best && counter > limit)) {
            break;
        }
        auto& team = *m_teams.at(id);
        demoteLateRequests(team, now, firstTokenTime);
        const auto* head = firstAccepted(team, predicate);
        if (!head) {
            continue;
        }
        if (!best) {
            // Latency targets decide among teams whose counters exceed this one's by no more than the request's cost.
            limit = counter + static_cast<double>(head->cost) / team.weight;
            best = head;
        } else if (!head->late && (best->late || head->target < best->target)) {
            best = head;
        }
    }
    return best;
}

const WaitingRequest* TierQueue::pickVictim() const
{
    return m_byProjectedCounter.empty() ? nullptr : lastRequest(*m_teams.at(m_byProjectedCounter.rbegin()->second));
}

const WaitingRequest* TierQueue::pickVictim(const ClassName& className) const
{
    for (auto it = m_byProjectedCounter.rbegin(); it != m_byProjectedCounter.rend(); ++it) {
        const auto& team = *m_teams.at(it->second);
        for (const auto* order : { &team.late, &team.onTime }) {
            auto found = std::find_if(order->rbegin(), order->rend(),
                [&](const auto& entry) { return entry.second->place.className == className; });
            if (found != order->rend()) {
                return found->second.get();
            }
        }
    }
    return nullptr;
}

void TierQueue::reorder(const TeamId& id, Team& team, double counter, double waitingCost)
{
    m_active.erase({ team.counter, id });
    m_byProjectedCounter.erase({ team.projectedCounter(), id });
    team.counter = counter;
    team.waitingCost = waitingCost;
    if (!team.onTime.empty() || !team.late.empty()) {
        m_active.emplace(counter, id);
        m_byProjectedCounter.emplace(team.projectedCounter(), id);
        m_virtualTime = std::max(m_virtualTime, m_active.begin()->first);
    }
}

void TierQueue::charge(const TeamId& id, double weight, std::int64_t tokens)
{
    auto& slot = m_teams[id];
    if (!slot) {
        slot = std::make_unique<Team>();
        slot->counter = m_virtualTime;
    }
    assert(weight > 0);
    reorder(id, *slot, slot->counter + static_cast<double>(tokens) / weight, slot->waitingCost);
}

double TierQueue::counter(const TeamId& id) const
{
    auto it = m_teams.find(id);
    return it == m_teams.end() ? m_virtualTime : it->second->counter;
}

std::size_t TierQueue::sizeOf(const ClassName& className) const
{
    auto it = m_byClass.find(className);
    return it == m_byClass.end() ? 0 : it->second;
}

MonotonicTime TierQueue::earliestLatestStart() const
{
    return m_latestStarts.empty() ? MonotonicTime::max() : *m_latestStarts.begin();
}

MonotonicTime TierQueue::oldestArrival() const
{
    return *m_arrivals.begin();
}

std::vector<RequestId> TierQueue::expired(MonotonicTime now) const
{
    if (earliestLatestStart() > now) {
        return {};
    }
    return requestsWhere([&](const WaitingRequest& waiting) { return waiting.latestStart <= now; });
}

std::vector<RequestId> TierQueue::requestsWhere(const WaitingPredicate& predicate) const
{
    std::vector<RequestId> requests;
    for (const auto& [request, place] : m_byRequest) {
        if (predicate(*place.position->second)) {
            requests.push_back(request);
        }
    }
    std::ranges::sort(requests);
    return requests;
}

void TierQueue::removeIdleTeams()
{
    if (m_teams.size() < minTeamsForCleanup + 2 * m_active.size()) {
        return;
    }
    // An idle team whose counter is not above the virtual time needs no entry: it would start at the virtual time
    // anyway.
    absl::erase_if(m_teams, [&](const auto& entry) {
        const auto& team = *entry.second;
        return team.onTime.empty() && team.late.empty() && team.counter <= m_virtualTime;
    });
}

} // namespace lagoonspoke
