#include "core/TokenBucket.h"

#include <algorithm>

namespace lagoonspoke {

TokenBucket::TokenBucket(double rate, double burst)
    : m_rate(rate)
    , m_burst(burst)
    , m_level(burst)
{
}

void TokenBucket::setRate(double rate, double burst)
{
    m_rate = rate;
    m_burst = burst;
    m_level = std::min(m_level, burst);
}

bool TokenBucket::has(double amount, MonotonicTime now)
{
    refill(now);
    return m_level >= std::min(amount, m_burst);
}

void TokenBucket::take(double amount, MonotonicTime now)
{
    refill(now);
    m_level = std::min(m_burst, m_level - amount);
}

Duration TokenBucket::timeUntil(double amount, MonotonicTime now)
{
    refill(now);
    double missing = std::min(amount, m_burst) - m_level;
    if (missing <= 0) {
        return Duration(0);
    }
    // An hour stands for a rate of zero.
    return m_rate > 0 ? fromSeconds(std::min(3600.0, missing / m_rate)) : std::chrono::hours(1);
}

void TokenBucket::refill(MonotonicTime now)
{
    if (now > m_last) {
        m_level = std::min(m_burst, m_level + m_rate * toSeconds(now - m_last));
        m_last = now;
    }
}

} // namespace lagoonspoke
