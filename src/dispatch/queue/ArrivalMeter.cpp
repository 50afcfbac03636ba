#include "dispatch/queue/ArrivalMeter.h"

#include <algorithm>
#include <cmath>

namespace lagoonspoke {

namespace {

// Weights of the newest interval in the exponential averages: time constants of 20 intervals, 5 s, and of 100, 25 s.
constexpr double newestWeight = 0.05;
constexpr double longTermNewestWeight = 0.01;
// After a gap of this many intervals the averages are reset: they would have decayed to almost nothing.
constexpr int maxIntervalGap = 200;

} // namespace

void ArrivalMeter::recordArrival(MonotonicTime now)
{
    closeIntervals(now);
    ++m_count;
}

double ArrivalMeter::expectedBurst(MonotonicTime now)
{
    closeIntervals(now);
    // Less than a tenth of a request per interval is too little traffic to reserve slots for.
    return m_mean < 0.1 ? 0 : m_mean + 2 * std::sqrt(m_variance);
}

double ArrivalMeter::meanRate(MonotonicTime now)
{
    closeIntervals(now);
    return m_longMean / toSeconds(interval);
}

void ArrivalMeter::closeIntervals(MonotonicTime now)
{
    for (int closed = 0; m_start + interval <= now; ++closed) {
        if (closed == maxIntervalGap) {
            m_mean = m_variance = m_longMean = 0;
            m_closedIntervals = 0;
            m_start = now;
            return;
        }
        double difference = m_count - m_mean;
        m_mean += newestWeight * difference;
        m_variance = (1 - newestWeight) * (m_variance + newestWeight * difference * difference);
        // An arithmetic mean until there are enough intervals for the exponential one.
        m_longMean += std::max(longTermNewestWeight, 1.0 / ++m_closedIntervals) * (m_count - m_longMean);
        m_count = 0;
        m_start += interval;
    }
}

} // namespace lagoonspoke
