#include "dispatch/queue/TeamLimiter.h"

#include <algorithm>

namespace lagoonspoke {

namespace {

// Requests arrive unevenly: those of one second may arrive at once.
constexpr double requestBurstSeconds = 1;
// A single long request may cost the tokens of several seconds.
constexpr double tokenBurstSeconds = 5;
// It is not known when one of the team's concurrent requests will end.
constexpr Duration concurrencyRetry = std::chrono::seconds(1);

} // namespace

std::optional<Duration> TeamLimiter::refuse(const TeamSpec* team, std::int64_t expectedTokens, MonotonicTime now)
{
    if (!team) {
        return std::nullopt;
    }
    const auto& limits = team->limits;
    if (!limits.requestsPerSecond && !limits.tokensPerSecond && !limits.concurrent) {
        return std::nullopt;
    }
    auto& usage = m_usage[team->name];
    configureBucket(usage.requests, limits.requestsPerSecond, requestBurstSeconds);
    configureBucket(usage.tokens, limits.tokensPerSecond, tokenBurstSeconds);
    if (limits.concurrent && usage.concurrent >= *limits.concurrent) {
        return concurrencyRetry;
    }
    auto tokens = static_cast<double>(expectedTokens);
    if (usage.requests && !usage.requests->has(1, now)) {
        return usage.requests->timeUntil(1, now);
    }
    if (usage.tokens && !usage.tokens->has(tokens, now)) {
        return usage.tokens->timeUntil(tokens, now);
    }
    if (usage.requests) {
        usage.requests->take(1, now);
    }
    if (usage.tokens) {
        usage.tokens->take(tokens, now);
    }
    return std::nullopt;
}

void TeamLimiter::adjustTokens(const TeamId& team, std::int64_t difference, MonotonicTime now)
{
    if (auto it = m_usage.find(team); it != m_usage.end() && it->second.tokens) {
        it->second.tokens->take(static_cast<double>(difference), now);
    }
}

void TeamLimiter::enter(const TeamId& team)
{
    ++m_usage[team].concurrent;
}

void TeamLimiter::leave(const TeamId& team)
{
    auto it = m_usage.find(team);
    if (it == m_usage.end()) {
        return;
    }
    it->second.concurrent = std::max(0, it->second.concurrent - 1);
    if (it->second.concurrent == 0 && !it->second.requests && !it->second.tokens) {
        m_usage.erase(it);
    }
}

void TeamLimiter::configureBucket(
    std::optional<TokenBucket>& bucket, const std::optional<double>& rate, double burstSeconds)
{
    if (!rate) {
        bucket.reset();
        return;
    }
    auto burst = std::max(1.0, *rate * burstSeconds);
    if (bucket) {
        bucket->setRate(*rate, burst);
    } else {
        bucket.emplace(*rate, burst);
    }
}

} // namespace lagoonspoke
