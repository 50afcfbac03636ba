#include "dispatch/ServerSelector.h"
#include "dispatch/DispatcherFixture.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

// Gives a request its first byte and then tokens at the given rate for two seconds.
void stream(DispatcherFixture& kit, const std::string& id, double tokensPerSecond)
{
    auto progress = kit.makeProgress(id);
    progress.firstByteSeen = true;
    progress.timeToFirstByte = 100ms;
    progress.outputTokens = Tokens { 1 };
    kit.sendFromEntry(progress);
    kit.now += 2s;
    progress.outputTokens += Tokens { static_cast<std::int64_t>(2 * tokensPerSecond) };
    kit.sendFromEntry(progress);
}

} // namespace

// Guards against sending a prompt to a server that must compute it again.
TEST_CASE("a cached prefix draws a request, and a gap in the events ends that")
{
    DispatcherFixture kit(3, 4);
    kit.send(
        CacheEventsReported { BackendServerId("s2"), 0, { { PrefixBlock { 1 }, true }, { PrefixBlock { 2 }, true } } });
    auto place = DispatcherFixture::makePlace("cached");
    place.prefix = { PrefixBlock { 1 }, PrefixBlock { 2 } };
    kit.sendFromEntry(place);
    REQUIRE(kit.serverOf("cached") == "s2");
    kit.finish("cached");
    kit.send(CacheEventsReported { BackendServerId("s2"), 7, {} });
    place.request = RequestId("dropped");
    kit.sendFromEntry(place);
    REQUIRE(kit.serverOf("dropped") != "s2");
}

// Guards against needless hops between data centres.
TEST_CASE("a server in the entry's data centre is preferred unless that is switched off")
{
    for (bool prefer : { true, false }) {
        DispatchOptions options;
        options.preferDataCentre = prefer;
        DispatcherFixture kit(3, 4, options);
        kit.list[2].dataCentre = DataCentreId("b");
        kit.send(ServersChanged { kit.list });
        kit.send(EntryMessageReceived { InstanceId("e1"), DispatcherFixture::makePlace("r"), DataCentreId("b") });
        REQUIRE((kit.serverOf("r") == "s2") == prefer);
    }
}

// Guards against a slow engine that keeps a full batch because its reports describe the past.
TEST_CASE("a slow server gets less work, whatever an old report says")
{
    DispatcherFixture kit(4, 4);
    for (int i = 0; i < 4; ++i) {
        kit.place("r" + std::to_string(i));
    }
    std::map<std::string, std::string> onServer;
    for (const auto& [id, grant] : kit.grants) {
        onServer[grant.server.value()] = id;
    }
    REQUIRE(onServer.size() == 4);
    for (const auto& [server, id] : onServer) {
        stream(kit, id, server == "s0" ? 4 : 40);
    }
    kit.send(LoadReported { BackendServerId("s0"), 1, 0, 40, 10s });
    kit.advance(200ms);
    kit.forget();
    for (int i = 0; i < 9; ++i) {
        kit.place("more" + std::to_string(i));
    }
    REQUIRE(std::ranges::none_of(kit.grants, [](const auto& it) { return it.second.server.value() == "s0"; }));
}

// Guards against sending every request to servers that fail, and against ejecting a whole pool.
TEST_CASE("failing servers are ejected up to half of the pool, probed and taken back")
{
    DispatcherFixture kit(2, 8);
    auto fail = [&](const std::string& server) {
        for (int i = 0; i < 8; ++i) {
            auto id = server + "-" + std::to_string(i);
            auto place = DispatcherFixture::makePlace(id);
            place.excluded = { BackendServerId(server == "s0" ? "s1" : "s0") };
            kit.sendFromEntry(place);
            kit.finish(id, FinishOutcome::ServerFailed);
        }
    };
    fail("s0");
    kit.place("a");
    kit.place("b");
    REQUIRE(kit.serverOf("a") == "s1");
    REQUIRE(kit.serverOf("b") == "s1");
    fail("s1");
    kit.place("c");
    REQUIRE(kit.serverOf("c") == "s1");
    kit.now += 2min;
    kit.place("probe");
    kit.place("beside");
    REQUIRE(kit.serverOf("probe") == "s0");
    REQUIRE(kit.serverOf("beside") == "s1");
    kit.finish("probe");
    kit.place("d");
    REQUIRE(kit.serverOf("d") == "s0");
}

} // namespace lagoonspoke
