#include "fleet/FleetAdjuster.h"

#include <catch2/catch.hpp>

#include "fleet/LoadPacer.h"

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

const TargetName model("m");

BackendServer makeServer(const std::string& id, bool spot)
{
    BackendServer server;
    server.id = BackendServerId(id);
    server.target = model;
    server.cheap = spot;
    return server;
}

MonotonicTime at(Duration time)
{
    return MonotonicTime(time);
}

} // namespace

TEST_CASE("Missing servers are ordered once, also while the orders are not carried out yet")
{
    auto adjuster = FleetAdjuster::Make({});
    FleetAdjuster::State state;
    auto orders = adjuster.adjust(model, { 1, 2 }, state, at(0s));
    CHECK(orders.size() == 3);
    state.pending = orders;
    CHECK(adjuster.adjust(model, { 1, 2 }, state, at(1s)).empty());
}

TEST_CASE("A server is stopped only after it has drained, or when draining takes too long")
{
    auto adjuster = FleetAdjuster::Make({});
    FleetAdjuster::State state { { makeServer("a", false), makeServer("b", false) }, {}, {} };
    state.busy[BackendServerId("b")] = 1;
    CHECK(adjuster.adjust(model, { 1, 0 }, state, at(0s)).empty());
    REQUIRE(adjuster.draining().contains(BackendServerId("b")));
    CHECK(adjuster.adjust(model, { 1, 0 }, state, at(1min)).empty());
    SECTION("drained")
    {
        state.busy.clear();
        auto orders = adjuster.adjust(model, { 1, 0 }, state, at(2min));
        REQUIRE(orders.size() == 1);
        CHECK(orders[0] == FleetOrderBody(StopServer { BackendServerId("b") }));
        state.pending = orders;
        CHECK(adjuster.adjust(model, { 1, 0 }, state, at(3min)).empty());
    }
    SECTION("takes too long")
    {
        CHECK(adjuster.adjust(model, { 1, 0 }, state, at(5min)).size() == 1);
    }
    SECTION("needed again")
    {
        CHECK(adjuster.adjust(model, { 2, 0 }, state, at(2min)).empty());
        CHECK(adjuster.draining().empty());
    }
}

TEST_CASE("An evicted server is replaced at once")
{
    auto adjuster = FleetAdjuster::Make({});
    FleetAdjuster::State state { { makeServer("a", true) }, {}, {} };
    state.servers[0].leaving = true;
    CHECK(adjuster.adjust(model, { 0, 1 }, state, at(0s)).size() == 1);
}

TEST_CASE("Loads go out at the weight store's rate, and slower after it refused one")
{
    LoadPacer pacer(2s);
    for (int i = 0; i < 4; ++i) {
        pacer.add(LoadModel { BackendServerId("a"), model, "1" });
    }
    CHECK(pacer.take(at(0s)));
    CHECK_FALSE(pacer.take(at(1999ms)));
    CHECK(pacer.nextWakeup() == at(2s));
    pacer.noteRefused();
    CHECK(pacer.take(at(2s)));
    CHECK_FALSE(pacer.take(at(5s)));
    CHECK(pacer.take(at(6s)));
}

} // namespace lagoonspoke
