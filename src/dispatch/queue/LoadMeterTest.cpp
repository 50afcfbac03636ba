#include "dispatch/queue/LoadMeter.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

using namespace std::chrono_literals;

// Guards against a plan that is made from the first moments of a dispatcher.
TEST_CASE("The load is unknown until it was measured for a second")
{
    LoadMeter meter;
    meter.recordRequests(0, MonotonicTime(10s));
    meter.recordRequests(40, MonotonicTime(100s));
    meter.recordRequests(40, MonotonicTime(100500ms));
    CHECK(meter.requests() == 0);
    meter.recordRequests(40, MonotonicTime(102s));
    CHECK(meter.requests() == Approx(40));
    CHECK(meter.readingServers() == 0);
}

// Guards against averages over events: many short requests would count more than a long one.
TEST_CASE("The load is an average over time that follows changes within seconds")
{
    LoadMeter meter;
    auto now = MonotonicTime(1h);
    for (auto time = Duration(0); time < 60s; time += 100ms) {
        meter.recordRequests(10, now + time);
        meter.recordReading(200ms, now + time);
    }
    CHECK(meter.requests() == Approx(10).epsilon(0.01));
    CHECK(meter.readingServers() == Approx(2).epsilon(0.02));
    meter.recordRequests(0, now + 60s);
    meter.recordRequests(0, now + 70s);
    CHECK(meter.requests() == Approx(10 / 2.718).epsilon(0.03));
    meter.recordRequests(30, now + 70s);
    meter.recordRequests(30, now + 100s);
    CHECK(meter.requests() > 27);
    CHECK(meter.readingServers() < 0.2);
}

} // namespace lagoonspoke
