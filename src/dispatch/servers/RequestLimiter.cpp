#include "dispatch/servers/RequestLimiter.h"

#include <algorithm>

namespace lagoonspoke {

namespace {

// Requests of one second, and at least two, may come at once after a pause: with fewer, a server that is idle for a
// moment loses part of its rate for good.
constexpr double burstSeconds = 1;
constexpr double smallestBurst = 2;
// A server that takes no requests at all still gets one in 10 s, or the end of its limit would never show.
constexpr double lowestRate = 0.1;

double rateOf(RequestRate rate)
{
    return std::max(lowestRate, rate.perSecond);
}

double burstOf(RequestRate rate)
{
    return std::max(smallestBurst, burstSeconds * rateOf(rate));
}

} // namespace

RequestLimiter::RequestLimiter()
    : m_bucket(lowestRate, 1)
{
}

bool RequestLimiter::recordAnswer(const std::optional<RequestRate>& rate, MonotonicTime grantedAt, MonotonicTime now)
{
    bool wasLimited = m_limit.rate().has_value();
    bool changed = m_limit.recordAnswer(rate, grantedAt, now);
    if (changed) {
        applyRate(wasLimited, now);
    }
    return changed;
}

bool RequestLimiter::recordReport(RequestRate rate, MonotonicTime heardAt, MonotonicTime now)
{
    bool wasLimited = m_limit.rate().has_value();
    bool changed = m_limit.recordReport(rate, heardAt);
    if (changed) {
        applyRate(wasLimited, now);
    }
    return changed;
}

void RequestLimiter::applyRate(bool wasLimited, MonotonicTime now)
{
    if (!rate()) {
        return;
    }
    auto burst = burstOf(*rate());
    if (wasLimited) {
        m_bucket.setRate(rateOf(*rate()), burst);
        return;
    }
    // What the server got in the last seconds is not known in full, so the bucket starts empty.
    m_bucket = TokenBucket(rateOf(*rate()), burst);
    m_bucket.take(burst, now);
}

void RequestLimiter::recordGrant(MonotonicTime now)
{
    if (rate()) {
        m_bucket.take(1, now);
    }
}

bool RequestLimiter::hasRoom(MonotonicTime now)
{
    return !rate() || m_bucket.has(1, now);
}

Duration RequestLimiter::waitBehind(int others, MonotonicTime now)
{
    return rate() ? m_bucket.timeUntil(1, now) + fromSeconds(others / rateOf(*rate())) : Duration(0);
}

} // namespace lagoonspoke
