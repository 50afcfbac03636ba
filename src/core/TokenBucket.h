#pragma once

#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// A rate limit with a burst. The level may go negative, so that a charge known only afterwards is paid back in time.
// Owned by the class that it limits.
class TokenBucket {
public:
    // Rate in units per second; starts full.
    TokenBucket(double rate, double burst);

    void setRate(double rate, double burst);
    bool has(double amount, MonotonicTime now);
    void take(double amount, MonotonicTime now);
    // Time until the amount is there; at most the burst is ever there.
    Duration timeUntil(double amount, MonotonicTime now);

private:
    void refill(MonotonicTime now);

    double m_rate;
    double m_burst;
    double m_level;
    MonotonicTime m_last {};
};

} // namespace lagoonspoke
