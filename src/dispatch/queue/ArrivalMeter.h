#pragma once

#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// Estimates mean and variance of the arrivals of one tier per interval of fixed length. Owned by TierShares.
class ArrivalMeter {
public:
    // The time within which a slot becomes free by itself or by preemption; bursts are measured over it.
    static constexpr Duration interval = std::chrono::milliseconds(250);

    void recordArrival(MonotonicTime now);
    // Requests that may arrive in one interval: the mean plus two standard deviations; 0 if the mean is negligible.
    // Two deviations without the mean made the highest tier late in 1 to 3% more cases (docs/measurements/policy.md,
    // round 2).
    double expectedBurst(MonotonicTime now);
    // Arrivals per second, averaged over about 25 s, for predictions over a similar time.
    double meanRate(MonotonicTime now);

private:
    void closeIntervals(MonotonicTime now);

    MonotonicTime m_start {};
    double m_count = 0;
    double m_mean = 0;
    double m_variance = 0;
    double m_longMean = 0;
    int m_closedIntervals = 0; // since the first arrival
};

} // namespace lagoonspoke
