#include "daemon/ShutdownTimes.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

using namespace std::chrono_literals;

namespace {

ShutdownTimes planShutdown(std::optional<Duration> grace, Duration delay)
{
    DaemonSettings settings;
    settings.shutdownGrace = grace;
    settings.shutdownDelay = delay;
    return ShutdownTimes::Make(settings, MonotonicTime());
}

} // namespace

// Guards against requests that run until the process is killed, so that nothing is left to hand over usage and leases.
TEST_CASE("A shutdown ends its requests before the process is killed")
{
    auto times = planShutdown(8s, 2s);
    CHECK(times.delay == 2s);
    CHECK(times.requestsEnd == MonotonicTime(7s));
    CHECK(times.processEnd == MonotonicTime(8s));
    times = planShutdown(30s, 2s);
    CHECK(times.requestsEnd == MonotonicTime(29s));
}

// Guards against a listener that stays open for all of a short grace time.
TEST_CASE("A short grace time shortens every step of a shutdown")
{
    auto times = planShutdown(1s, 2s);
    CHECK(times.delay == 250ms);
    CHECK(times.requestsEnd == MonotonicTime(875ms));
}

TEST_CASE("A shutdown without a grace time waits for its requests")
{
    auto times = planShutdown({}, 2s);
    CHECK(times.delay == 2s);
    CHECK_FALSE(times.requestsEnd);
    CHECK_FALSE(times.processEnd);
}

} // namespace lagoonspoke
