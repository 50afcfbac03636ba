#include "tools/load/ArrivalPlan.h"

#include <algorithm>

#include <catch2/catch.hpp>

namespace lagoonspoke {

namespace {

Profile makeProfile()
{
    Profile profile;
    profile.duration = std::chrono::seconds(100);
    StreamLoad stream;
    stream.teams = { { "a", "k", 3 }, { "b", "l", 1 } };
    stream.requestsPerSecond = 50;
    stream.burst = Burst { std::chrono::seconds(40), std::chrono::seconds(60), 3 };
    profile.streams = { stream };
    return profile;
}

std::ptrdiff_t countBetween(const std::vector<Arrival>& plan, int from, int to)
{
    return std::ranges::count_if(plan,
        [&](const Arrival& it) { return it.at >= std::chrono::seconds(from) && it.at < std::chrono::seconds(to); });
}

} // namespace

// Two policies are compared on the same arrivals; a plan that changes between runs would compare noise.
TEST_CASE("the same seed gives the same plan and another seed another")
{
    auto first = planArrivals(makeProfile(), 7);
    auto second = planArrivals(makeProfile(), 7);
    REQUIRE(first.size() == second.size());
    REQUIRE(std::ranges::equal(first, second, {}, &Arrival::at, &Arrival::at));
    REQUIRE_FALSE(std::ranges::equal(first, planArrivals(makeProfile(), 8), {}, &Arrival::at, &Arrival::at));
}

// A burst that is not in the arrivals would make an overload test pass without overload. The bounds are five
// standard deviations of the Poisson counts around their means.
TEST_CASE("the burst multiplies the rate between its ends only")
{
    auto plan = planArrivals(makeProfile(), 7);
    REQUIRE(std::abs(countBetween(plan, 0, 40) - 2000) < 5 * 45);
    REQUIRE(std::abs(countBetween(plan, 40, 60) - 3000) < 5 * 55);
    REQUIRE(std::abs(countBetween(plan, 60, 100) - 2000) < 5 * 45);
}

} // namespace lagoonspoke
