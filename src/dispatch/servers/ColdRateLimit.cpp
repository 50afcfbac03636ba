#include "dispatch/servers/ColdRateLimit.h"

#include <algorithm>

namespace lagoonspoke {

namespace {

// Part of the tolerated requests that the dispatcher grants; the rest is left to local placement.
constexpr double dispatcherPart = 0.75;
// Of the dispatcher's part, what may be granted at once. The remaining part is the sustained rate, so that the grants
// of any second stay within the whole part.
constexpr double burstPart = 0.25;
// A known cold server gets its requests one by one; with a burst of one, a moment without a request loses rate for
// good.
constexpr double coldBurst = 2;
// A dispatcher that is cut off from almost all others still gets through its own requests.
constexpr double lowestRate = 0.1;

bool isCold(const BackendServer& server, MonotonicTime now)
{
    return now < server.coldUntil;
}

} // namespace

ColdRateLimit::ColdRateLimit()
    : m_bucket(lowestRate, 1)
{
}

void ColdRateLimit::update(const BackendServer& server, double connectedShare, MonotonicTime now)
{
    if (!server.coldTolerance) {
        m_rate.reset();
        return;
    }
    double most = dispatcherPart * server.coldTolerance->requestsInOneSecond * connectedShare;
    double rate = (1 - burstPart) * most;
    double burst = std::max(1.0, burstPart * most);
    if (isCold(server, now)) {
        rate = std::min(rate, server.coldTolerance->requestsPerSecond * connectedShare);
        burst = std::min(burst, coldBurst);
    }
    rate = std::max(rate, lowestRate);
    if (!m_rate) {
        m_bucket = TokenBucket(rate, burst);
        m_bucket.take(burst, now);
    } else if (m_rate->perSecond != rate || m_burst != burst) {
        // Settles what was earned at the rate that held until now.
        m_bucket.take(0, now);
        m_bucket.setRate(rate, burst);
    }
    m_rate = RequestRate { rate };
    m_burst = burst;
}

void ColdRateLimit::recordGrant(MonotonicTime now)
{
    if (m_rate) {
        m_bucket.take(1, now);
    }
}

bool ColdRateLimit::hasRoom(MonotonicTime now)
{
    return !m_rate || m_bucket.has(1, now);
}

Duration ColdRateLimit::waitBehind(int others, MonotonicTime now)
{
    return m_rate ? m_bucket.timeUntil(1, now) + fromSeconds(others / m_rate->perSecond) : Duration(0);
}

std::optional<RequestRate> ColdRateLimit::localRate(const BackendServer& server, MonotonicTime now)
{
    if (!server.coldTolerance) {
        return std::nullopt;
    }
    const auto& tolerance = *server.coldTolerance;
    double most = isCold(server, now) ? std::min(tolerance.requestsPerSecond, tolerance.requestsInOneSecond)
                                      : tolerance.requestsInOneSecond;
    return RequestRate { (1 - dispatcherPart) * most };
}

} // namespace lagoonspoke
