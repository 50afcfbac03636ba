#include "dispatch/queue/Preemptor.h"

#include <algorithm>
#include <tuple>

namespace lagoonspoke {

namespace {

// Slots become free at irregular times, so half of the time to the target is a safety margin.
constexpr double usableFraction = 0.5;

} // namespace

Preemptor::Preemptor(DispatchState& state)
    : m_state(state)
    , m_rateLimiter(1, 1)
{
}

void Preemptor::preemptForHigherTiers(MonotonicTime now)
{
    auto floor = m_state.floors.highest(now);
    int waiting = 0;
    for (const auto& [tier, queue] : m_state.queues) {
        if (queue.size() == 0) {
            continue;
        }
        if (floor.isHigherThan(tier) || &queue == &m_state.queues.rbegin()->second) {
            return;
        }
        waiting += static_cast<int>(queue.size());
        for (int missing = slotShortage(tier, waiting, now); missing > 0; --missing) {
            if (!m_rateLimiter.has(1, now) || !preemptBelow(tier)) {
                break;
            }
            m_rateLimiter.take(1, now);
        }
    }
}

int Preemptor::slotShortage(Tier tier, int waiting, MonotonicTime now)
{
    double slots = m_state.pool.totalSlots();
    double rate = std::max(1.0, m_state.options.preemptionRate * slots);
    m_rateLimiter.setRate(rate, rate);
    const auto* head
        = m_state.queueOf(tier).pick(now, m_state.times.firstToken(), [](const WaitingRequest&) { return true; });
    double slack = head ? usableFraction * toSeconds(head->target - now - m_state.times.firstToken()) : 0;
    double freedInTime = slots / std::max(0.01, m_state.times.meanSlotSeconds()) * std::max(0.0, slack);
    return waiting - m_pendingPreemptions - m_state.pool.freeSlots() - static_cast<int>(freedInTime);
}

bool Preemptor::preemptBelow(Tier tier)
{
    const GrantedRequest* victim = nullptr;
    auto rank = [](const GrantedRequest& it) {
        // Lowest tier first, then least output lost, then the latest grant, which makes the choice unique.
        return std::tuple(-int(it.place.tier.level), it.outputTokens, ~static_cast<std::uint64_t>(it.grant));
    };
    for (const auto& [request, granted] : m_state.grants.all()) {
        if (!tier.isHigherThan(granted.place.tier) || !GrantTable::isPreemptible(granted)) {
            continue;
        }
        const auto* server = m_state.pool.find(granted.server);
        if (!server || server->slow || server->limitReached || !m_state.pool.isUsable(*server)) {
            continue;
        }
        if (!victim || rank(granted) < rank(*victim)) {
            victim = &granted;
        }
    }
    if (!victim) {
        return false;
    }
    auto* granted = m_state.grants.find(victim->place.request);
    granted->revoked = granted->preempted = true;
    ++m_pendingPreemptions;
    ++m_state.counters.preemptions;
    m_state.actions.emplace_back(
        SendToEntry { granted->entry, Revoke { granted->place.request, granted->grant, RevokeReason::Preempted } });
    return true;
}

} // namespace lagoonspoke
