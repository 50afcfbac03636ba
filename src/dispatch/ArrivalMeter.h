#pragma once

#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// Mean and variation of the arrivals of one tier in intervals of fixed length. Owned by the tier scheduler.
class ArrivalMeter {
public:
    // The time within which a slot becomes free by itself or by preemption; bursts are measured over it.
    static constexpr Duration interval = std::chrono::milliseconds(250);

    void recordArrival(MonotonicTime now);
    // Requests that may arrive in one interval: the mean plus two standard deviations; 0 without recent arrivals.
    // Two deviations alone made the highest tier late in 1 to 3% more cases (docs/measurements/policy.md, round 2).
    double expectedBurst(MonotonicTime now);
    // Mean over about 25 s, for predictions that reach as far.
    double meanRate(MonotonicTime now);

private:
    void closeIntervals(MonotonicTime now);

    MonotonicTime m_start {};
    double m_count = 0;
    double m_mean = 0;
    double m_variance = 0;
    double m_longMean = 0;
    int m_closedIntervals = 0; // intervals since the first arrival
};

} // namespace lagoonspoke
