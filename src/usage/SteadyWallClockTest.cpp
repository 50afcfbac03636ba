#include "usage/SteadyWallClock.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

using namespace std::chrono_literals;

TEST_CASE("Usage windows do not follow a wall clock that jumps and comes back")
{
    SteadyWallClock clock({});
    MonotonicTime start(100s);
    CHECK(clock.read(1000s, start) == 1000s);
    CHECK(clock.read(1000s + 5s + 2400ms, start + 5s) == 1005s);
    CHECK(clock.read(1000s + 8s - 2400ms, start + 8s) == 1008s);
    CHECK(clock.read(1011s, start + 11s) == 1011s);
}

TEST_CASE("Usage windows follow slow drift, and a correction that lasts")
{
    SteadyWallClock clock({});
    MonotonicTime start(100s);
    clock.read(1000s, start);
    CHECK(clock.read(1001s + 150ms, start + 1s) == 1001s + 150ms);
    CHECK(clock.read(1002s + 300ms, start + 2s) == 1002s + 300ms);
    CHECK(clock.read(1010s, start + 3s) == 1003s + 300ms);
    CHECK(clock.read(1039s, start + 32s) == 1032s + 300ms);
    CHECK(clock.read(1040s, start + 33s) == 1040s);
}

} // namespace lagoonspoke
