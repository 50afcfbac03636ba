#include "fleet/CapacityPlanner.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

using namespace std::chrono_literals;

namespace {

const DataCentreId near("a");

DeploymentSpec makeDeployment()
{
    DeploymentSpec deployment;
    deployment.name = TargetName("m");
    deployment.minServersPerDataCentre = 1;
    deployment.maxServersPerDataCentre = 12;
    return deployment;
}

CapacityPlanner makePlanner()
{
    CapacityPlanner::Options options;
    options.dataCentres = { near, DataCentreId("b") };
    return CapacityPlanner(options);
}

std::vector<BackendServer> makeServers(int lasting, int cheap, bool leaving = false)
{
    std::vector<BackendServer> servers;
    for (int i = 0; i < lasting + cheap; ++i) {
        BackendServer server;
        server.id = BackendServerId("s" + std::to_string(i));
        server.dataCentre = near;
        server.target = TargetName("m");
        server.cheap = i >= lasting;
        server.leaving = leaving && server.cheap;
        servers.push_back(server);
    }
    return servers;
}

} // namespace

TEST_CASE("A third of the servers lasts, in every data centre")
{
    auto plan = makePlanner().plan(makeDeployment());
    CHECK(plan.at(near) == FleetCounts { 2, 4 });
    auto dear = makeDeployment();
    dear.allowCheap = false;
    CHECK(makePlanner().plan(dear).at(near) == FleetCounts { 6, 0 });
}

// Guards against a gap in capacity: lasting servers that go before the cheap ones serve.
TEST_CASE("Lasting servers are given back only once the cheap ones that replace them serve")
{
    auto planner = makePlanner();
    auto first = planner.adjust(makeDeployment(), near, makeServers(6, 0), MonotonicTime(10s));
    CHECK(first == std::vector<WishedCount> { { near, true, 4 }, { near, false, 6 } });
    auto later = planner.adjust(makeDeployment(), near, makeServers(6, 4), MonotonicTime(15s));
    CHECK(later == std::vector<WishedCount> { { near, false, 2 } });
}

// Guards against a deployment that runs on a third of its servers for as long as the platform has no cheap ones: on a
// day with two evictions, it served 46 in 100.
TEST_CASE("Lasting servers stand in for cheap ones that are evicted, until these are back")
{
    auto planner = makePlanner();
    planner.adjust(makeDeployment(), near, makeServers(2, 4), MonotonicTime(10s));
    auto evicted = planner.adjust(makeDeployment(), near, makeServers(2, 0), MonotonicTime(13s));
    CHECK(evicted == std::vector<WishedCount> { { near, true, 4 }, { near, false, 6 } });
    CHECK(planner.adjust(makeDeployment(), near, makeServers(6, 0), MonotonicTime(14s)).empty());
    auto back = planner.adjust(makeDeployment(), near, makeServers(6, 4), MonotonicTime(30s));
    CHECK(back == std::vector<WishedCount> { { near, false, 2 } });
}

// Guards against orders beyond the bound of a data centre, which the platform would refuse.
TEST_CASE("Both kinds together stay within the largest number")
{
    auto deployment = makeDeployment();
    deployment.maxServersPerDataCentre = 4;
    auto planner = makePlanner();
    auto orders = planner.adjust(deployment, near, makeServers(4, 0), MonotonicTime(10s));
    int sum = 0;
    for (const auto& it : orders) {
        sum += it.count;
    }
    CHECK(sum <= 4);
}

// Guards against servers that stay away after an eviction, and against an order with every look at the list.
TEST_CASE("An order is repeated while its servers are missing, not more often than its interval")
{
    auto planner = makePlanner();
    planner.adjust(makeDeployment(), near, makeServers(2, 4), MonotonicTime(10s));
    CHECK(planner.adjust(makeDeployment(), near, makeServers(2, 4), MonotonicTime(20s)).empty());
    auto evicted = planner.adjust(makeDeployment(), near, makeServers(2, 4, true), MonotonicTime(21s));
    CHECK(evicted == std::vector<WishedCount> { { near, true, 4 }, { near, false, 6 } });
    CHECK(planner.adjust(makeDeployment(), near, makeServers(2, 4, true), MonotonicTime(22s)).empty());
    CHECK(planner.adjust(makeDeployment(), near, makeServers(2, 0), MonotonicTime(23s)).size() == 2);
    planner.forgetOrders(near);
    CHECK(planner.adjust(makeDeployment(), near, makeServers(2, 4), MonotonicTime(24s)).size() == 2);
}

} // namespace lagoonspoke
