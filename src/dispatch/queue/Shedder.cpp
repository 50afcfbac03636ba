#include "dispatch/queue/Shedder.h"

#include <algorithm>

namespace lagoonspoke {

namespace {

// The predicted waits change slowly, so that computing them for every event would waste time.
constexpr Duration minRunInterval = std::chrono::milliseconds(20);
// Limits the work of one run for each tier; the next run continues.
constexpr int maxRefusalsPerTier = 64;
constexpr Duration minRetryAfter = std::chrono::milliseconds(100);
constexpr Duration maxRetryAfter = std::chrono::seconds(60);
// Leaves a refused caller two thirds of the time to its deadline for the second attempt.
constexpr int retryDeadlineDivisor = 3;

} // namespace

void Shedder::run(MonotonicTime now)
{
    if (m_state.isSettling(now) || now < m_lastRun + minRunInterval || !m_state.times.hasEnoughSamples()) {
        return;
    }
    m_lastRun = now;
    for (auto it = m_state.queues.rbegin(); it != m_state.queues.rend(); ++it) {
        shedTier(it->first, now);
    }
}

void Shedder::shedTier(Tier tier, MonotonicTime now)
{
    auto& queue = m_state.queueOf(tier);
    for (int count = 0; count < maxRefusalsPerTier; ++count) {
        const auto* victim = queue.pickVictim();
        if (!victim) {
            return;
        }
        auto wait = fromSeconds(m_state.predictedWait(tier, now));
        if (now + wait <= victim->latestStart || isProtected(tier, queue, *victim, now)) {
            return;
        }
        if (shedLowerTier(tier, now)) {
            continue;
        }
        if (m_state.options.usePreemption && m_state.grants.hasPreemptibleBelow(tier)) {
            return;
        }
        m_state.drop(victim->place.request, RefusalCode::Overloaded, retryAfter(tier, *victim, now));
    }
}

bool Shedder::shedLowerTier(Tier tier, MonotonicTime now)
{
    for (auto it = m_state.queues.rbegin(); it != m_state.queues.rend() && tier.isHigherThan(it->first); ++it) {
        if (it->second.size() == 0 || isProtected(it->first, it->second, *it->second.pickVictim(), now)) {
            continue;
        }
        const auto* victim = it->second.pickVictim();
        m_state.drop(victim->place.request, RefusalCode::Overloaded, retryAfter(it->first, *victim, now));
        return true;
    }
    return false;
}

bool Shedder::isProtected(Tier tier, const TierQueue& queue, const WaitingRequest& victim, MonotonicTime now)
{
    // Requests that the guaranteed share alone serves in time may wait, or the tier would starve. Half of the time is
    // kept as a margin.
    double seconds = toSeconds(victim.latestStart - now) / 2;
    return queue.size() <= 1
        || static_cast<double>(queue.waitingCost()) <= m_state.shares.guaranteedTokens(tier, seconds, now);
}

Duration Shedder::retryAfter(Tier tier, const WaitingRequest& victim, MonotonicTime now)
{
    // By then the requests now ahead of the victim have been served; a delay near the deadline would leave the caller
    // no time to retry.
    auto wait = std::min(fromSeconds(m_state.predictedWait(tier, now)), (victim.deadline - now) / retryDeadlineDivisor);
    return std::clamp(wait, minRetryAfter, maxRetryAfter);
}

void Shedder::enforceQueueLimit(Tier tier, const ClassName& className, MonotonicTime now)
{
    auto& queue = m_state.queueOf(tier);
    PlaceRequest place;
    place.className = className;
    auto limit = static_cast<std::size_t>(std::max(1, m_state.classOf(place).maxQueued));
    if (m_state.isSettling(now) || queue.sizeOf(className) <= limit || shedLowerTier(tier, now)) {
        return;
    }
    const auto* victim = queue.pickVictim(className);
    m_state.drop(victim->place.request, RefusalCode::QueueFull, retryAfter(tier, *victim, now));
}

void Shedder::dropExpired(MonotonicTime now)
{
    for (auto& [tier, queue] : m_state.queues) {
        for (const auto& request : queue.expired(now)) {
            m_state.drop(request, RefusalCode::Overloaded, minRetryAfter);
        }
    }
    std::vector<RequestId> expired;
    for (const auto& waiting : m_state.suspects) {
        if (waiting->latestStart <= now) {
            expired.push_back(waiting->place.request);
        }
    }
    for (const auto& request : expired) {
        m_state.drop(request, RefusalCode::Overloaded, minRetryAfter);
    }
}

} // namespace lagoonspoke
