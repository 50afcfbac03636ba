#include "dispatch/ArrivalMeter.h"

#include <algorithm>
#include <cmath>

namespace lagoonspoke {

namespace {

// The last 20 intervals, 5 s, carry most of the weight.
constexpr double weightOfNewest = 0.05;
constexpr double weightOfNewestLong = 0.01;
// After this many empty intervals the estimate has faded to nothing.
constexpr int mostIntervalsClosed = 200;

} // namespace

void ArrivalMeter::recordArrival(MonotonicTime now)
{
    closeIntervals(now);
    ++m_count;
}

double ArrivalMeter::expectedBurst(MonotonicTime now)
{
    closeIntervals(now);
    // Under a tenth of a request in an interval is no traffic to reserve for.
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
        if (closed == mostIntervalsClosed) {
            m_mean = m_variance = m_longMean = 0;
            m_closedIntervals = 0;
            m_start = now;
            return;
        }
        double difference = m_count - m_mean;
        m_mean += weightOfNewest * difference;
        m_variance = (1 - weightOfNewest) * (m_variance + weightOfNewest * difference * difference);
        // The first intervals count as a plain mean.
        m_longMean += std::max(weightOfNewestLong, 1.0 / ++m_closedIntervals) * (m_count - m_longMean);
        m_count = 0;
        m_start += interval;
    }
}

} // namespace lagoonspoke
