#pragma once

#include <optional>

#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// The wall clock without its jumps: steady time with the offset of the wall clock, which is followed only while it
// changes slowly, or once it has stayed at another value for long. Owned by UsageService.
class SteadyWallClock {
public:
    struct Options {
        // A larger change between two readings is a jump.
        Duration jumpBound = std::chrono::milliseconds(200);
        // A jump that lasts this long is a correction; set clocks are often set back within seconds.
        Duration settleTime = std::chrono::seconds(30);
    };

    explicit SteadyWallClock(Options options)
        : m_options(options)
    {
    }

    // Takes the time of the wall clock since 1970 and gives the time to go by.
    Duration read(Duration wall, MonotonicTime now);

private:
    Options m_options;
    std::optional<Duration> m_offset; // of the wall clock from steady time
    std::optional<MonotonicTime> m_jumpedAt;
};

} // namespace lagoonspoke
