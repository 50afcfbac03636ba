#include "dispatch/placement/ServerSelector.h"
#include "dispatch/DispatcherFixture.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

// Reports the first byte of a request and then tokens at the given rate for two seconds.
void stream(DispatcherFixture& fixture, const std::string& id, double tokensPerSecond)
{
    auto progress = fixture.makeProgress(id);
    progress.firstByteSeen = true;
    progress.timeToFirstByte = 100ms;
    progress.outputTokens = Tokens { 1 };
    fixture.sendFromEntry(progress);
    fixture.now += 2s;
    progress.outputTokens += Tokens { static_cast<std::int64_t>(2 * tokensPerSecond) };
    fixture.sendFromEntry(progress);
}

} // namespace

// Guards against sending a prompt to a server that has to compute it again while another one has it cached.
TEST_CASE("a request goes to the server with its prefix cached until a gap in the cache events")
{
    DispatcherFixture fixture(3, 4);
    fixture.send(
        CacheEventsReported { BackendServerId("s2"), 0, { { PrefixBlock { 1 }, true }, { PrefixBlock { 2 }, true } } });
    auto place = DispatcherFixture::makePlace("cached");
    place.prefix = { PrefixBlock { 1 }, PrefixBlock { 2 } };
    fixture.sendFromEntry(place);
    REQUIRE(fixture.serverOf("cached") == "s2");
    fixture.finish("cached");
    fixture.send(CacheEventsReported { BackendServerId("s2"), 7, {} });
    place.request = RequestId("dropped");
    fixture.sendFromEntry(place);
    REQUIRE(fixture.serverOf("dropped") != "s2");
}

// Guards against needless network hops between data centres.
TEST_CASE("a server in the entry's data centre is preferred unless the option is off")
{
    for (bool prefer : { true, false }) {
        DispatchOptions options;
        options.preferDataCentre = prefer;
        DispatcherFixture fixture(3, 4, options);
        fixture.serverList[2].dataCentre = DataCentreId("b");
        fixture.send(ServersChanged { fixture.serverList });
        fixture.send(EntryMessageReceived { InstanceId("e1"), DispatcherFixture::makePlace("r"), DataCentreId("b") });
        REQUIRE((fixture.serverOf("r") == "s2") == prefer);
    }
}

// Guards against a slow engine that still gets a full batch because an outdated report shows its earlier speed.
TEST_CASE("a slow server gets less work even if an old report shows a higher rate")
{
    DispatcherFixture fixture(4, 4);
    for (int i = 0; i < 4; ++i) {
        fixture.place("r" + std::to_string(i));
    }
    std::map<std::string, std::string> onServer;
    for (const auto& [id, grant] : fixture.grants) {
        onServer[grant.server.value()] = id;
    }
    REQUIRE(onServer.size() == 4);
    for (const auto& [server, id] : onServer) {
        stream(fixture, id, server == "s0" ? 4 : 40);
    }
    fixture.send(LoadReported { BackendServerId("s0"), 1, 0, 40, 10s });
    fixture.advance(200ms);
    fixture.clearRecords();
    for (int i = 0; i < 9; ++i) {
        fixture.place("more" + std::to_string(i));
    }
    REQUIRE(std::ranges::none_of(fixture.grants, [](const auto& it) { return it.second.server.value() == "s0"; }));
}

// Guards against routing to servers that keep failing, and against ejecting the whole pool.
TEST_CASE("failing servers are ejected up to half of the pool, probed and reinstated")
{
    DispatcherFixture fixture(2, 8);
    auto fail = [&](const std::string& server) {
        for (int i = 0; i < 8; ++i) {
            auto id = server + "-" + std::to_string(i);
            auto place = DispatcherFixture::makePlace(id);
            place.excluded = { BackendServerId(server == "s0" ? "s1" : "s0") };
            fixture.sendFromEntry(place);
            fixture.finish(id, FinishOutcome::ServerFailed);
        }
    };
    fail("s0");
    fixture.place("a");
    fixture.place("b");
    REQUIRE(fixture.serverOf("a") == "s1");
    REQUIRE(fixture.serverOf("b") == "s1");
    fail("s1");
    fixture.place("c");
    REQUIRE(fixture.serverOf("c") == "s1");
    fixture.now += 2min;
    fixture.place("probe");
    fixture.place("beside");
    REQUIRE(fixture.serverOf("probe") == "s0");
    REQUIRE(fixture.serverOf("beside") == "s1");
    fixture.finish("probe");
    fixture.place("d");
    REQUIRE(fixture.serverOf("d") == "s0");
}

} // namespace lagoonspoke
