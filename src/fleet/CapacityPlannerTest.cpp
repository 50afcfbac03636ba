#include "fleet/CapacityPlanner.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

using namespace std::chrono_literals;

namespace {

const std::vector<DataCentreId> dataCentres { DataCentreId("a"), DataCentreId("b"), DataCentreId("c") };
const DataCentreId near("a");

DeploymentSpec makeDeployment()
{
    DeploymentSpec deployment;
    deployment.name = TargetName("m");
    deployment.minServersPerDataCentre = 1;
    deployment.maxServersPerDataCentre = 12;
    deployment.startTime = 4s;
    return deployment;
}

CapacityPlanner makePlanner()
{
    CapacityPlanner::Options options;
    options.dataCentres = dataCentres;
    return CapacityPlanner(options);
}

// The same servers in every data centre but the first, which has those given.
std::vector<BackendServer> makeServers(FleetCounts here, FleetCounts elsewhere, bool leaving = false)
{
    std::vector<BackendServer> servers;
    for (const auto& dataCentre : dataCentres) {
        const auto& counts = dataCentre == near ? here : elsewhere;
        for (int i = 0; i < counts.onDemand + counts.spot; ++i) {
            BackendServer server;
            server.id = BackendServerId(dataCentre.value() + std::to_string(i));
            server.dataCentre = dataCentre;
            server.target = TargetName("m");
            server.cheap = i >= counts.onDemand;
            server.leaving = leaving && server.cheap && dataCentre == near;
            servers.push_back(server);
        }
    }
    return servers;
}

FleetCounts sumOf(const FleetPlan& plan)
{
    FleetCounts sum;
    for (const auto& [dataCentre, counts] : plan) {
        sum.onDemand += counts.onDemand;
        sum.spot += counts.spot;
    }
    return sum;
}

// What stays when the cheap servers of the data centre that has most of them are evicted.
int survivorsOf(const FleetPlan& plan)
{
    int most = 0;
    for (const auto& [dataCentre, counts] : plan) {
        most = std::max(most, counts.spot);
    }
    auto sum = sumOf(plan);
    return sum.onDemand + sum.spot - most;
}

// The plan after the load has been the same for long enough to follow it.
FleetPlan planFor(CapacityPlanner& planner, double load, MonotonicTime from = MonotonicTime(1h))
{
    planner.setLoad(load);
    for (auto time = Duration(0); time <= 20s; time += 500ms) {
        planner.adjust(makeDeployment(), near, makeServers({ 2, 4 }, { 2, 4 }), from + time);
    }
    return planner.plan(makeDeployment());
}

} // namespace

// Guards against a deployment that keeps the servers of its busiest hour at any load: on a calm day they cost 0.13 of
// what it earned.
TEST_CASE("The number of servers follows the load, with the headroom for a burst")
{
    for (double load : { 1.2, 2.0, 3.5, 5.0 }) {
        auto planner = makePlanner();
        auto plan = planFor(planner, load);
        auto sum = sumOf(plan);
        CHECK(sum.onDemand + sum.spot == std::max(3, static_cast<int>(std::ceil(3 * load))));
    }
    auto busy = makePlanner();
    auto sum = sumOf(planFor(busy, 40));
    CHECK(sum.onDemand + sum.spot == 27);
}

// Guards against an eviction that leaves too few servers: all cheap ones of one data centre go at once.
TEST_CASE("The servers that an eviction in one data centre leaves carry the load with a quarter of the headroom")
{
    for (double load : { 1.2, 2.0, 3.5, 5.0, 6.0 }) {
        auto planner = makePlanner();
        auto plan = planFor(planner, load);
        CHECK(survivorsOf(plan) >= std::ceil(1.5 * load));
        for (const auto& [dataCentre, counts] : plan) {
            CHECK(counts.onDemand >= 1);
        }
    }
}

// Guards against lasting servers where cheap ones do: a lasting one costs as much as four or five of them.
TEST_CASE("Lasting servers are no more than the floor and an eviction need")
{
    auto planner = makePlanner();
    CHECK(sumOf(planFor(planner, 6)).onDemand == 3);
    auto lasting = makeDeployment();
    lasting.allowCheap = false;
    CHECK(makePlanner().plan(lasting).at(near) == FleetCounts { 6, 0 });
    // With a single data centre, an eviction takes all cheap servers: the lasting ones have to carry the load.
    CapacityPlanner::Options options;
    options.dataCentres = { near };
    CapacityPlanner single(options);
    CHECK(single.plan(makeDeployment()).at(near) == FleetCounts { 3, 3 });
}

TEST_CASE("Of servers that do not divide evenly, lasting ones are in the data centres with the lowest prices")
{
    auto deployment = makeDeployment();
    deployment.allowCheap = false;
    deployment.dataCentrePrices = { { DataCentreId("a"), 1.2 }, { DataCentreId("b"), 0.85 }, { DataCentreId("c"), 1 } };
    auto planner = makePlanner();
    planner.setLoad(10.0 / 3);
    planner.adjust(deployment, near, makeServers({ 2, 0 }, { 2, 0 }), MonotonicTime(1h));
    auto plan = planner.plan(deployment);
    CHECK(plan.at(DataCentreId("b")).onDemand == 4);
    CHECK(plan.at(DataCentreId("a")).onDemand == 3);
}

// Guards against servers that are given back in a lull and are missing in the next burst, and against orders that
// follow every change of the load.
TEST_CASE("A plan follows a rise at once and a fall only once it has lasted")
{
    auto planner = makePlanner();
    auto start = MonotonicTime(1h);
    planFor(planner, 4, start);
    auto servers = makeServers({ 1, 3 }, { 1, 3 });
    auto totalAt = [&](double load, Duration time) {
        planner.setLoad(load);
        planner.adjust(makeDeployment(), near, servers, start + time);
        auto sum = sumOf(planner.plan(makeDeployment()));
        return sum.onDemand + sum.spot;
    };
    CHECK(totalAt(5, 30s) == 15);
    CHECK(totalAt(4.6, 40s) == 15);
    CHECK(totalAt(4.6, 60s) == 15); // within the hysteresis
    CHECK(totalAt(2, 61s) == 15);
    CHECK(totalAt(2, 68s) == 15);
    CHECK(totalAt(4.6, 68500ms) == 15); // the lull was too short
    CHECK(totalAt(2, 69s) == 15);
    CHECK(totalAt(3, 72s) == 15);
    CHECK(totalAt(2, 77s) == 9); // the highest need of the lull
    // A dispatcher that has measured nothing yet says nothing about the load.
    CHECK(totalAt(0, 90s) == 9);
}

// Guards against a plan that keeps to the bounds of an earlier configuration until the load changes.
TEST_CASE("A change of the configured bounds is followed at once")
{
    auto planner = makePlanner();
    auto deployment = makeDeployment();
    auto totalAt = [&](Duration time) {
        planner.adjust(deployment, near, makeServers({ 1, 5 }, { 1, 5 }), MonotonicTime(time));
        auto sum = sumOf(planner.plan(deployment));
        return std::pair(sum.onDemand + sum.spot, sum.spot);
    };
    planner.setLoad(6);
    CHECK(totalAt(10s) == std::pair(18, 15));
    deployment.maxServersPerDataCentre = 4;
    CHECK(totalAt(11s) == std::pair(9, 6));
    deployment.allowCheap = false;
    CHECK(totalAt(12s) == std::pair(9, 0));
    deployment.minServersPerDataCentre = 4;
    CHECK(totalAt(13s) == std::pair(12, 0));
}

// Guards against a gap in capacity: lasting servers that go before the cheap ones serve.
TEST_CASE("Lasting servers are given back only once the cheap ones that replace them serve")
{
    auto planner = makePlanner();
    auto first = planner.adjust(makeDeployment(), near, makeServers({ 6, 0 }, { 6, 0 }), MonotonicTime(10s));
    CHECK(first == std::vector<WishedCount> { { near, true, 5 }, { near, false, 6 } });
    auto partly = planner.adjust(makeDeployment(), near, makeServers({ 6, 2 }, { 6, 2 }), MonotonicTime(11s));
    CHECK(partly == std::vector<WishedCount> { { near, false, 4 } });
    auto later = planner.adjust(makeDeployment(), near, makeServers({ 4, 5 }, { 6, 5 }), MonotonicTime(15s));
    CHECK(later == std::vector<WishedCount> { { near, false, 1 } });
}

// Guards against a deployment that runs on too few servers for as long as the platform has no cheap ones: on a day with
// two evictions, it served 46 in 100.
TEST_CASE("Lasting servers stand in for evicted ones that the others cannot replace, until these are back")
{
    auto planner = makePlanner();
    auto deployment = makeDeployment();
    planner.setLoad(6);
    planner.adjust(deployment, near, makeServers({ 1, 5 }, { 1, 5 }), MonotonicTime(10s));
    // With those of the other data centres, 13 servers are left, and 9 are needed.
    auto covered = planner.adjust(deployment, near, makeServers({ 1, 0 }, { 1, 5 }), MonotonicTime(17s));
    CHECK(covered == std::vector<WishedCount> { { near, true, 5 } });
    // After a second eviction elsewhere, 5 are left.
    auto evicted = planner.adjust(deployment, near, makeServers({ 1, 0 }, { 1, 1 }), MonotonicTime(18s));
    REQUIRE(evicted.size() == 1);
    CHECK_FALSE(evicted.front().cheap);
    CHECK(evicted.front().count >= 2);
    CHECK(evicted.front().count <= 4);
    auto standIns = evicted.front().count;
    // They are kept while the cheap ones are missing, although they add to what is there.
    auto kept = planner.adjust(deployment, near, makeServers({ standIns, 0 }, { 1, 5 }), MonotonicTime(18500ms));
    CHECK(kept.empty());
    auto back = planner.adjust(deployment, near, makeServers({ standIns, 5 }, { 1, 5 }), MonotonicTime(30s));
    CHECK(back == std::vector<WishedCount> { { near, false, 1 } });
}

// Guards against orders beyond the bound of a data centre, which the platform would refuse.
TEST_CASE("Both kinds together stay within the largest number")
{
    auto deployment = makeDeployment();
    deployment.maxServersPerDataCentre = 4;
    auto planner = makePlanner();
    auto orders = planner.adjust(deployment, near, makeServers({ 4, 0 }, { 4, 0 }), MonotonicTime(10s));
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
    auto deployment = makeDeployment();
    planner.adjust(deployment, near, makeServers({ 1, 5 }, { 1, 5 }), MonotonicTime(10s));
    CHECK(planner.adjust(deployment, near, makeServers({ 1, 5 }, { 1, 5 }), MonotonicTime(20s)).empty());
    auto evicted = planner.adjust(deployment, near, makeServers({ 1, 5 }, { 1, 5 }, true), MonotonicTime(21s));
    CHECK(evicted == std::vector<WishedCount> { { near, true, 5 } });
    // Servers that were ordered have the time to start.
    CHECK(planner.adjust(deployment, near, makeServers({ 1, 5 }, { 1, 5 }, true), MonotonicTime(22s)).empty());
    CHECK(planner.adjust(deployment, near, makeServers({ 1, 0 }, { 1, 5 }), MonotonicTime(26s)).empty());
    CHECK(planner.adjust(deployment, near, makeServers({ 1, 0 }, { 1, 5 }), MonotonicTime(27s)).size() == 1);
    // An order that the platform refused is repeated sooner.
    planner.recordRefusal(near, true);
    CHECK(planner.adjust(deployment, near, makeServers({ 1, 0 }, { 1, 5 }), MonotonicTime(28s)).empty());
    CHECK(planner.adjust(deployment, near, makeServers({ 1, 0 }, { 1, 5 }), MonotonicTime(29s)).size() == 1);
    planner.forgetOrders(near);
    CHECK(planner.adjust(deployment, near, makeServers({ 1, 5 }, { 1, 5 }), MonotonicTime(30s)).size() == 2);
}

// Guards against an evacuation that leaves too few servers, or that gives those back that are needed after it.
TEST_CASE("while a data centre is evacuated the others carry its load")
{
    auto planner = makePlanner();
    auto deployment = makeDeployment();
    deployment.allowCheap = false;
    planner.setLoad(4);
    MonotonicTime now { 100s };
    auto orders = planner.adjust(deployment, dataCentres[1], makeServers({}, {}), now);
    REQUIRE(orders.size() == 1);
    auto before = orders[0].count;
    planner.setEvacuated({ near });
    auto servers = makeServers({ before, 0 }, { before, 0 });
    for (auto& server : servers) {
        server.evacuated = server.dataCentre == near;
    }
    CHECK(planner.adjust(deployment, near, servers, now + 1s).empty());
    orders = planner.adjust(deployment, dataCentres[1], servers, now + 1s);
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].count == before * 3 / 2);
    // With all evacuated there is nowhere else to go.
    planner.setEvacuated({ dataCentres.begin(), dataCentres.end() });
    CHECK(sumOf(planner.plan(deployment)).onDemand >= before * 3);
}

} // namespace lagoonspoke
