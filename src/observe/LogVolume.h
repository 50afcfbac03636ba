#pragma once

#include <cstdint>

#include "core/TokenBucket.h"
#include "observe/LogLine.h"

namespace lagoonspoke {

// Bounds how many log lines a second are written, and keeps room for warnings and errors when lines about ordinary
// requests would use it up. Pure; owned by LogSink.
class LogVolume {
public:
    struct Options {
        // An instance at the design size ends two requests a second; this is what a hundred times as many need.
        double linesPerSecond = 300;
        // Lines at once, such as those of all requests that end when an instance shuts down.
        double burst = 3000;
        // Share of the burst that is left to warnings and errors.
        double reservedShare = 0.25;
    };

    explicit LogVolume(Options);

    // Whether the line may be written. A line that may not counts as dropped.
    bool admit(LogLevel, MonotonicTime now);
    std::uint64_t dropped() const { return m_dropped; }

private:
    Options m_options;
    TokenBucket m_bucket;
    std::uint64_t m_dropped = 0;
};

} // namespace lagoonspoke
