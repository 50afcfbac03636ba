#include "fleet/FleetPlanner.h"

#include <random>

#include <catch2/catch.hpp>

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

FleetPlanner makePlanner()
{
    FleetPlanner::Options options;
    options.dataCentres = { DataCentreId("a"), DataCentreId("b"), DataCentreId("c") };
    return FleetPlanner::Make(options);
}

FleetDemand makeDemand(double load, double protectedLoad)
{
    return { load, protectedLoad, 1, 1000, true };
}

int serversOf(const FleetPlan& plan)
{
    int servers = 0;
    for (const auto& [dataCentre, counts] : plan) {
        servers += counts.onDemand + counts.spot;
    }
    return servers;
}

} // namespace

TEST_CASE("Protected load fits when the spot servers of any one data centre vanish")
{
    std::mt19937 random(7);
    for (int i = 0; i < 500; ++i) {
        auto load = std::uniform_real_distribution<double>(0, 200)(random);
        auto share = std::uniform_real_distribution<double>(0, 1)(random);
        auto plan = makePlanner().plan(makeDemand(load, load * share), MonotonicTime());
        INFO("load " << load << " protected " << load * share);
        CHECK(serversOf(plan) >= load);
        for (const auto& [dataCentre, counts] : plan) {
            CHECK(serversOf(plan) - counts.spot >= load * share);
        }
    }
}

TEST_CASE("Cheap servers are used as far as protected load allows, and never more is paid than without them")
{
    auto plan = makePlanner().plan(makeDemand(100, 20), MonotonicTime());
    double price = 0;
    for (const auto& [dataCentre, counts] : plan) {
        price += counts.onDemand + 0.3 * counts.spot;
    }
    CHECK(price <= 0.31 * 120);
}

TEST_CASE("A fleet grows at once and shrinks only after ten minutes of lower load")
{
    auto planner = makePlanner();
    auto now = MonotonicTime();
    auto small = serversOf(planner.plan(makeDemand(10, 5), now));
    auto large = serversOf(planner.plan(makeDemand(50, 25), now + 1min));
    CHECK(large > small);
    CHECK(serversOf(planner.plan(makeDemand(10, 5), now + 11min)) == large);
    CHECK(serversOf(planner.plan(makeDemand(10, 5), now + 12min)) == small);
}

TEST_CASE("Without spot servers the load falls back to on-demand servers")
{
    auto planner = makePlanner();
    for (const auto* name : { "a", "b", "c" }) {
        planner.noteSpotMissing(DataCentreId(name), MonotonicTime());
    }
    auto plan = planner.plan(makeDemand(30, 10), MonotonicTime() + 1min);
    CHECK(serversOf(plan) >= 30);
    for (const auto& [dataCentre, counts] : plan) {
        CHECK(counts.spot == 0);
    }
    CHECK(planner.plan(makeDemand(30, 10), MonotonicTime() + 11min).at(DataCentreId("a")).spot > 0);
}

TEST_CASE("A plan stays within the bounds of the deployment")
{
    FleetDemand demand { 500, 100, 2, 40, true };
    CHECK(serversOf(makePlanner().plan(demand, MonotonicTime())) <= 40);
    demand.load = 0;
    demand.protectedLoad = 0;
    CHECK(serversOf(makePlanner().plan(demand, MonotonicTime())) >= 2);
}

} // namespace lagoonspoke
