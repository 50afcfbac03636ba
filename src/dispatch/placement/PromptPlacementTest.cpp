// Each test runs a load pattern on a virtual clock.
#include <set>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "dispatch/DispatcherFixture.h"

namespace lagoonspoke {

using namespace std::chrono_literals;

namespace {

// A model with a chat route, which has a short gap target, and a route for long prompts.
SnapshotPtr makeSnapshot()
{
    Configuration configuration;
    configuration.number = 1;
    auto add = [&](const std::string& name, int tier, Duration target, Duration gap, Duration patience) {
        ClassSpec spec;
        spec.name = ClassName(name);
        spec.tier = Tier { static_cast<std::uint8_t>(tier) };
        spec.firstTokenTarget = target;
        spec.tokenGapTarget = gap;
        spec.deadline = 8s;
        spec.callerPatience = patience;
        configuration.tiers.try_emplace(spec.tier, TierSpec { spec.tier });
        configuration.classes.emplace(spec.name, spec);
        RouteSpec route;
        route.className = spec.name;
        route.service = TargetName("m");
        route.streamed = true;
        configuration.routes.emplace(name, route);
    };
    add("chat", 0, 500ms, 300ms, 3s);
    add("plan", 2, 2s, 1200ms, 0s);
    DeploymentSpec deployment;
    deployment.name = TargetName("m");
    deployment.tokensPerEvent = 4;
    deployment.memoryPerServer = { 500000 };
    configuration.deployments.emplace(deployment.name, deployment);
    return ConfigurationSnapshot::Make(std::move(configuration));
}

// A dispatcher and engines that read 140 prompt tokens per millisecond, one prompt after the other, and cache the
// shared parts that they have read.
class EngineFixture {
public:
    explicit EngineFixture(int servers, int slots = 64)
        : fixture(servers, slots)
    {
        fixture.send(ConfigurationChanged { makeSnapshot() });
    }

    void place(const std::string& id, const std::string& className, std::uint64_t part, int shared, int own)
    {
        auto place = DispatcherFixture::makePlace(id, className == "chat" ? 0 : 2, "t" + std::to_string(part % 5));
        place.className = ClassName(className);
        place.prefix = { PrefixBlock(part), PrefixBlock(std::hash<std::string> {}(id)) };
        place.prefixTokens = { { shared }, { own } };
        place.promptTokens = { shared + own };
        place.remaining = 8s;
        m_prompts[id] = { part, shared, own };
        fixture.sendFromEntry(std::move(place));
        takeGrants();
    }

    // Advances the clock while the engines work.
    void run(Duration time)
    {
        auto end = fixture.now + time;
        while (fixture.now < end) {
            fixture.advance(5ms);
            takeGrants();
            finishReading();
        }
    }

    // Ends the request. Its first token must have arrived.
    void finish(const std::string& id) { fixture.finish(id); }

    std::map<std::string, BackendServerId> granted; // by request
    DispatcherFixture fixture;

private:
    void takeGrants()
    {
        for (const auto& id : std::exchange(fixture.granted, {})) {
            const auto& grant = fixture.grants.at(id);
            granted[id] = grant.server;
            const auto& prompt = m_prompts.at(id);
            bool known = !m_parts[grant.server].insert(prompt.part).second;
            auto& engine = m_freeAt[grant.server];
            engine = std::max(engine, fixture.now) + (prompt.own + (known ? 0 : prompt.shared)) * 1ms / 140;
            m_reading.push_back({ grant, fixture.now, engine });
        }
    }

    void finishReading()
    {
        for (auto it = m_reading.begin(); it != m_reading.end();) {
            if (it->until > fixture.now) {
                ++it;
                continue;
            }
            Progress progress;
            progress.request = it->grant.request;
            progress.grant = it->grant.grant;
            progress.firstByteSeen = true;
            progress.timeToFirstByte = it->until - it->since;
            fixture.sendFromEntry(progress);
            it = m_reading.erase(it);
        }
        takeGrants();
    }

    struct Prompt {
        std::uint64_t part = 0;
        int shared = 0; // tokens
        int own = 0;
    };
    struct Reading {
        Grant grant;
        MonotonicTime since;
        MonotonicTime until;
    };

    std::vector<Reading> m_reading;
    std::map<std::string, Prompt> m_prompts; // by request
    std::map<BackendServerId, MonotonicTime> m_freeAt;
    std::map<BackendServerId, std::set<std::uint64_t>> m_parts;
};

} // namespace

// Guards against spreading requests without regard to their shared parts, so that many engines read the same part.
TEST_CASE("Requests that share a long part go to the engine that has read it")
{
    EngineFixture engines(6);
    for (int i = 0; i < 30; ++i) {
        engines.place(fmt::format("p{}", i), "plan", 1 + i % 5, 13000, 1000);
        engines.run(120ms);
    }
    std::map<int, std::set<BackendServerId>> serversOfPart;
    for (int i = 0; i < 30; ++i) {
        serversOfPart[i % 5].insert(engines.granted.at(fmt::format("p{}", i)));
    }
    for (const auto& [part, servers] : serversOfPart) {
        CHECK(servers.size() == 1);
    }
}

// Guards against a second reading of a part by a request that arrives while the first one is still reading it.
TEST_CASE("Requests wait while the part that they share is being read")
{
    EngineFixture engines(6);
    engines.place("first", "plan", 1, 13000, 1000);
    engines.place("second", "plan", 1, 13000, 1000);
    CHECK(engines.granted.contains("first"));
    CHECK_FALSE(engines.granted.contains("second"));
    engines.run(150ms);
    REQUIRE(engines.granted.contains("second"));
    CHECK(engines.granted.at("second") == engines.granted.at("first"));
}

// Guards against long prompts that stall the output of chat streams for longer than their gap target.
TEST_CASE("Long prompts are not placed on the engines that run streams with a short gap target")
{
    EngineFixture engines(6);
    for (int i = 0; i < 12; ++i) {
        engines.place(fmt::format("c{}", i), "chat", 100 + i % 3, 200, 900);
        engines.run(20ms);
    }
    engines.run(200ms);
    for (int i = 0; i < 10; ++i) {
        engines.place(fmt::format("p{}", i), "plan", 1 + i, 13000, 1000);
        engines.run(30ms);
    }
    engines.run(500ms);
    std::set<BackendServerId> streamEngines;
    for (int i = 0; i < 12; ++i) {
        streamEngines.insert(engines.granted.at(fmt::format("c{}", i)));
    }
    for (int i = 0; i < 10; ++i) {
        CHECK_FALSE(streamEngines.contains(engines.granted.at(fmt::format("p{}", i))));
    }
}

// Guards against a burst of prompts whose parts a stream engine has cached: each leaves little to read there, but all
// together stalled the chat streams until they were late or gave up.
TEST_CASE("A burst of prompts is not placed on a stream engine that has their parts cached")
{
    EngineFixture engines(6);
    for (int i = 0; i < 8; ++i) {
        engines.place(fmt::format("c{}", i), "chat", 100, 200, 900);
        engines.run(20ms);
    }
    engines.run(200ms);
    auto streamEngine = engines.granted.at("c7");
    Resync resync { InstanceId("e1"), DomainId("riga/m"), {}, {}, {} };
    resync.parts.push_back({ streamEngine, { PrefixBlock(7) }, { { 13000 } }, 1s });
    engines.fixture.sendFromEntry(resync);
    for (int i = 0; i < 20; ++i) {
        engines.place(fmt::format("p{}", i), "plan", 7, 13000, 1000);
        engines.run(50ms);
    }
    engines.run(1s);
    for (int i = 0; i < 20; ++i) {
        CHECK(engines.granted.at(fmt::format("p{}", i)) != streamEngine);
    }
}

// Guards against a request that waits for a busy engine past its target while others are idle: in a burst of requests
// that share one part, waits of 6.9 s were seen while other engines were idle.
TEST_CASE("A burst that shares one part uses more engines before its requests miss their targets")
{
    EngineFixture engines(6);
    for (int i = 0; i < 120; ++i) {
        engines.place(fmt::format("p{}", i), "plan", 1, 13000, 4000);
        engines.run(10ms);
    }
    engines.run(2s);
    std::set<BackendServerId> servers;
    for (const auto& [id, server] : engines.granted) {
        servers.insert(server);
    }
    CHECK(engines.granted.size() == 120);
    CHECK(servers.size() >= 2);
}

// Guards against a new dispatcher that does not know which engines have cached which parts: all would be read again.
TEST_CASE("A new dispatcher learns from the entries which engines have read which parts")
{
    EngineFixture engines(6);
    Resync resync { InstanceId("e1"), DomainId("riga/m"), {}, {}, {} };
    resync.parts.push_back({ BackendServerId("s4"), { PrefixBlock(7) }, { { 13000 } }, 1s });
    engines.fixture.sendFromEntry(resync);
    engines.place("p", "plan", 7, 13000, 1000);
    REQUIRE(engines.granted.contains("p"));
    CHECK(engines.granted.at("p") == BackendServerId("s4"));
}

// Guards against requests that are queued for half of their time and then dropped: slots were free throughout, but the
// engines had ten seconds' worth of prompts to read.
TEST_CASE("A burst that the engines cannot read in time is refused when it arrives")
{
    EngineFixture engines(2);
    for (int i = 0; i < 10; ++i) {
        engines.place(fmt::format("before{}", i), "plan", 100 + static_cast<std::uint64_t>(i), 13000, 1000);
        engines.run(300ms);
        engines.finish(fmt::format("before{}", i));
    }
    constexpr int burst = 300;
    for (int i = 0; i < burst; ++i) {
        engines.place(fmt::format("p{}", i), "plan", 1000 + static_cast<std::uint64_t>(i), 13000, 1000);
        engines.run(5ms);
    }
    engines.run(200ms);
    // 300 prompts of 14,000 tokens, at 140,000 tokens per second on each engine, take 15 s; requests have 8 s.
    CHECK(engines.fixture.refusals.size() > burst / 4);
    CHECK(engines.fixture.refusals.size() < burst);
    for (const auto& [id, refusal] : engines.fixture.refusals) {
        CHECK(refusal.code == RefusalCode::Overloaded);
        CHECK(refusal.retryAfter > 500ms);
        CHECK(refusal.retryAfter <= 3s);
    }
}

// Guards against requests that wait for an engine without a free slot while others are idle: as all its prompts are
// read, it looks unloaded.
TEST_CASE("A request does not wait for an engine that has no free slot")
{
    EngineFixture engines(2, 4);
    for (int i = 0; i < 4; ++i) {
        engines.place(fmt::format("p{}", i), "plan", 7, 13000, 1000);
        engines.run(150ms);
    }
    auto fullServer = engines.granted.at("p0");
    REQUIRE(engines.granted.at("p3") == fullServer);
    engines.place("next", "plan", 7, 13000, 1000);
    REQUIRE(engines.granted.contains("next"));
    CHECK(engines.granted.at("next") != fullServer);
}

// Guards against streams that wait without any response until their callers disconnect.
TEST_CASE("A waiting stream is refused before its caller disconnects")
{
    EngineFixture engines(1, 1);
    engines.place("running", "plan", 1, 13000, 1000);
    engines.place("waiting", "chat", 2, 200, 900);
    engines.run(2s);
    CHECK(engines.fixture.refusals.empty());
    engines.run(950ms);
    CHECK(engines.fixture.refusals.contains("waiting"));
}

// Guards against chat requests that have to wait for each long prompt that an engine reads.
TEST_CASE("A short prompt starts while a long one is being read")
{
    EngineFixture engines(1);
    engines.place("long", "plan", 1, 13000, 1000);
    engines.place("short", "chat", 2, 200, 900);
    CHECK(engines.granted.contains("short"));
    engines.place("second", "plan", 3, 13000, 1000);
    CHECK_FALSE(engines.granted.contains("second"));
}

} // namespace lagoonspoke
