#include "dispatch/Shedder.h"

#include <algorithm>

namespace lagoonspoke {

namespace {

// The prediction changes slowly; running it for every event would only cost time.
constexpr Duration pause = std::chrono::milliseconds(20);
// Bounds the work of one run; the next run continues.
constexpr int mostRefusals = 64;
constexpr Duration shortestRetry = std::chrono::milliseconds(100);
constexpr Duration longestRetry = std::chrono::seconds(60);
// Leaves a refused caller two thirds of its time for the second attempt.
constexpr int largestRetryDivisor = 3;

} // namespace

void Shedder::run(MonotonicTime now)
{
    if (m_state.isSettling(now) || now < m_lastRun + pause || !m_state.times.hasEnoughSamples()) {
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
    for (int count = 0; count < mostRefusals; ++count) {
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
    // What the guaranteed share alone serves in time may wait, or the tier would starve. Half of the time is a margin.
    double seconds = toSeconds(victim.latestStart - now) / 2;
    return queue.size() <= 1
        || static_cast<double>(queue.waitingCost()) <= m_state.shares.guaranteedTokens(tier, seconds, now);
}

Duration Shedder::retryAfter(Tier tier, const WaitingRequest& victim, MonotonicTime now)
{
    // What is ahead of the request now has run by then; a caller cannot use more than a part of its time.
    auto wait = std::min(fromSeconds(m_state.predictedWait(tier, now)), (victim.deadline - now) / largestRetryDivisor);
    return std::clamp(wait, shortestRetry, longestRetry);
}

void Shedder::enforceQueueLimit(Tier tier, const ClassName& className, MonotonicTime now)
{
    auto& queue = m_state.queueOf(tier);
    PlaceRequest place;
    place.className = className;
    auto bound = static_cast<std::size_t>(std::max(1, m_state.classOf(place).maxQueued));
    if (m_state.isSettling(now) || queue.sizeOf(className) <= bound || shedLowerTier(tier, now)) {
        return;
    }
    const auto* victim = queue.pickVictim(className);
    m_state.drop(victim->place.request, RefusalCode::QueueFull, retryAfter(tier, *victim, now));
}

void Shedder::dropExpired(MonotonicTime now)
{
    for (auto& [tier, queue] : m_state.queues) {
        for (const auto& request : queue.expired(now)) {
            m_state.drop(request, RefusalCode::Overloaded, shortestRetry);
        }
    }
    std::vector<RequestId> expired;
    for (const auto& waiting : m_state.suspects) {
        if (waiting->latestStart <= now) {
            expired.push_back(waiting->place.request);
        }
    }
    for (const auto& request : expired) {
        m_state.drop(request, RefusalCode::Overloaded, shortestRetry);
    }
}

} // namespace lagoonspoke
