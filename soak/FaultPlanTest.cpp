#include "soak/FaultPlan.h"

#include <set>

#include <catch2/catch.hpp>

namespace lagoonspoke::soak {

namespace {

std::vector<std::string> describeAll(std::uint64_t seed)
{
    std::vector<std::string> lines;
    for (const auto& fault : makeFaultPlan(seed, std::chrono::seconds(60), {})) {
        lines.push_back(describe(fault));
    }
    return lines;
}

} // namespace

// Guards against a seed that cannot be played again.
TEST_CASE("a seed gives the same faults each time, and another seed others")
{
    REQUIRE(describeAll(7) == describeAll(7));
    REQUIRE(describeAll(7) != describeAll(8));
}

// Guards against a plan that never plays some fault, or faults one at a time only.
TEST_CASE("plans hold every kind of fault, overlap, and end in time")
{
    std::set<std::size_t> kinds;
    bool overlaps = false;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        auto plan = makeFaultPlan(seed, std::chrono::seconds(60), {});
        for (std::size_t i = 0; i < plan.size(); ++i) {
            kinds.insert(plan[i].action.index());
            REQUIRE(plan[i].at + plan[i].lasts <= std::chrono::seconds(60));
            overlaps = overlaps || (i > 0 && plan[i].at < plan[i - 1].at + plan[i - 1].lasts);
        }
    }
    REQUIRE(kinds.size() == std::variant_size_v<FaultAction>);
    REQUIRE(overlaps);
}

} // namespace lagoonspoke::soak
