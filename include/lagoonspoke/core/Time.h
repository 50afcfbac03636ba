#pragma once

#include <chrono>

namespace lagoonspoke {

using Duration = std::chrono::nanoseconds;

// Timeline of the local monotonic clock. It has no now(): decision code receives the time as an argument.
struct MonotonicTimeline {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    static constexpr bool is_steady = true;
};

using MonotonicTime = std::chrono::time_point<MonotonicTimeline, Duration>;

// Reads CLOCK_BOOTTIME, which keeps counting while the machine is suspended.
MonotonicTime readMonotonicClock();

inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

inline double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

inline Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace lagoonspoke
