#include "observe/LogVolume.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

namespace {

int admitted(LogVolume& volume, LogLevel level, int lines, MonotonicTime now)
{
    int count = 0;
    for (int i = 0; i < lines; ++i) {
        count += volume.admit(level, now);
    }
    return count;
}

} // namespace

// Guards against a log that grows with the load without a bound.
TEST_CASE("lines beyond the rate are dropped and counted")
{
    LogVolume volume({ .linesPerSecond = 10, .burst = 100, .reservedShare = 0 });
    MonotonicTime now(std::chrono::hours(1));
    REQUIRE(admitted(volume, LogLevel::Info, 1000, now) == 100);
    REQUIRE(volume.dropped() == 900);
    now += std::chrono::seconds(2);
    REQUIRE(admitted(volume, LogLevel::Info, 1000, now) == 20);
}

// Guards against lines about ordinary requests that crowd out the reason of a failure.
TEST_CASE("warnings are written when the room for other lines is used up")
{
    LogVolume volume({ .linesPerSecond = 10, .burst = 100, .reservedShare = 0.25 });
    MonotonicTime now(std::chrono::hours(1));
    REQUIRE(admitted(volume, LogLevel::Info, 1000, now) == 75);
    REQUIRE(admitted(volume, LogLevel::Warning, 10, now) == 10);
    REQUIRE(admitted(volume, LogLevel::Error, 1000, now) == 15);
}

} // namespace lagoonspoke
