#include "dispatch/DispatcherFixture.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

SnapshotPtr makeSnapshot(const TeamLimits& limits)
{
    Configuration configuration;
    TeamSpec team;
    team.name = TeamId("t1");
    team.limits = limits;
    configuration.teams[team.name] = team;
    for (int tier = 0; tier < 3; ++tier) {
        ClassSpec spec;
        spec.name = ClassName("c" + std::to_string(tier));
        spec.tier = Tier { static_cast<std::uint8_t>(tier) };
        spec.maxQueued = 2;
        configuration.classes[spec.name] = spec;
    }
    return ConfigurationSnapshot::Make(std::move(configuration));
}

} // namespace

// Guards against granting a lower tier's request, which arrived earlier, before a higher tier's.
TEST_CASE("a free slot goes to the highest waiting tier")
{
    DispatcherFixture fixture(1, 1);
    fixture.place("first");
    fixture.place("low", 2);
    fixture.place("high", 0);
    fixture.finish("first");
    REQUIRE(fixture.granted == std::vector<std::string> { "first", "high" });
}

// Guards against starvation (G2): under strict priority alone, the low tier would never be granted here.
TEST_CASE("a waiting lower tier gets its guaranteed share under sustained higher load")
{
    DispatchOptions options;
    options.usePreemption = false;
    DispatcherFixture fixture(1, 1, options);
    fixture.place("h0");
    fixture.place("low", 2);
    int served = 0;
    for (int i = 0; i < 400 && !fixture.grants.contains("low"); ++i, ++served) {
        fixture.place("h" + std::to_string(i + 1));
        // Simulated service time of each request.
        fixture.now += 100ms;
        fixture.finish("h" + std::to_string(i));
    }
    // The guaranteed share is a fiftieth of the granted tokens.
    REQUIRE(fixture.grants.contains("low"));
    REQUIRE(served > 10);
    REQUIRE(fixture.counters().guaranteedGrants == 1);
}

// Guards against a higher tier waiting behind a lower one (G1), and against preempting requests that are not
// idempotent.
TEST_CASE("a higher tier preempts only idempotent requests of a lower tier")
{
    DispatcherFixture fixture(1, 2);
    fixture.trainPredictions(5s);
    auto once = DispatcherFixture::makePlace("once", 2);
    once.idempotent = false;
    fixture.sendFromEntry(once);
    fixture.place("twice", 2);
    fixture.place("middle", 1);
    fixture.advance(2s);
    REQUIRE(fixture.revokes == std::vector { std::pair<std::string, RevokeReason>("twice", RevokeReason::Preempted) });
    fixture.finish("twice", FinishOutcome::Aborted);
    REQUIRE(fixture.grants.contains("middle"));
    fixture.sendFromEntry(DispatcherFixture::makePlace("twice", 2));
    REQUIRE(fixture.refusals.empty());
}

// Guards against preempting a whole tier at once.
TEST_CASE("preemption stays within its rate limit")
{
    DispatcherFixture fixture(2, 10);
    fixture.trainPredictions(5s);
    for (int i = 0; i < 20; ++i) {
        fixture.place("low" + std::to_string(i), 2);
    }
    for (int i = 0; i < 20; ++i) {
        fixture.place("high" + std::to_string(i));
    }
    // A tenth of 20 slots per second, with a burst of the same size.
    fixture.advance(1s);
    REQUIRE(fixture.revokes.size() <= 4);
    REQUIRE(!fixture.revokes.empty());
}

// Guards against refusals that come only after the caller gave up, and against refusing a higher tier before a lower
// one.
TEST_CASE("an overloaded domain refuses early, the lowest tier first")
{
    DispatchOptions options;
    options.usePreemption = false;
    DispatcherFixture fixture(1, 1, options);
    fixture.trainPredictions(10s);
    fixture.place("running");
    for (int i = 0; i < 6; ++i) {
        fixture.place("low" + std::to_string(i), 1, "team" + std::to_string(i));
        fixture.now += 30ms;
    }
    for (int i = 0; i < 4; ++i) {
        fixture.place("high" + std::to_string(i));
        fixture.now += 30ms;
    }
    fixture.advance(30ms);
    REQUIRE(fixture.refusals.size() >= 5);
    for (const auto& [id, refusal] : fixture.refusals) {
        REQUIRE(id.starts_with("low"));
        REQUIRE(refusal.code == RefusalCode::Overloaded);
        REQUIRE(refusal.retryAfter > Duration(0));
    }
}

// Guards against an unbounded queue, and against refusing a higher tier while a lower one waits.
TEST_CASE("a full queue refuses a lower tier's request before one of its own tier")
{
    DispatcherFixture fixture(1, 1);
    fixture.send(ConfigurationChanged { makeSnapshot({}) });
    fixture.place("running");
    fixture.place("low0", 2, "t2");
    fixture.place("low1", 2, "t3");
    fixture.place("h0");
    fixture.place("h1");
    fixture.place("h2");
    REQUIRE(fixture.refusals.size() == 1);
    REQUIRE(fixture.refusals.begin()->first.starts_with("low"));
    fixture.place("h3");
    REQUIRE(fixture.refusals.size() == 2);
    REQUIRE(std::ranges::count_if(fixture.refusals, [](const auto& it) {
        return it.second.code == RefusalCode::QueueFull;
    }) == 1);
}

// Guards against a team exceeding its limits by sending its requests through several entries.
TEST_CASE("team limits apply across all entries")
{
    DispatcherFixture fixture(4, 10);
    TeamLimits limits;
    limits.concurrent = 2;
    fixture.send(ConfigurationChanged { makeSnapshot(limits) });
    for (int i = 0; i < 3; ++i) {
        fixture.sendFromEntry(DispatcherFixture::makePlace("r" + std::to_string(i)), "e" + std::to_string(i));
    }
    REQUIRE(fixture.refusals.at("r2").code == RefusalCode::TeamLimit);
    fixture.finish("r0");
    fixture.place("r3");
    REQUIRE(fixture.grants.contains("r3"));
    limits.concurrent.reset();
    limits.requestsPerSecond = 1;
    fixture.send(ConfigurationChanged { makeSnapshot(limits) });
    fixture.place("r4");
    fixture.place("r5");
    REQUIRE(fixture.refusals.at("r5").code == RefusalCode::TeamLimit);
    REQUIRE(fixture.refusals.at("r5").retryAfter == Duration(1s));
}

// Guards against queueing a request whose deadline no server can meet, or whose domain has no server.
TEST_CASE("a request that no server can run in time is refused at once")
{
    DispatcherFixture fixture(1, 1);
    auto place = DispatcherFixture::makePlace("short");
    place.promptTokens = Tokens { 80000 };
    place.remaining = 1s;
    fixture.sendFromEntry(place);
    REQUIRE(fixture.refusals.at("short").code == RefusalCode::DeadlineTooShort);
    fixture.send(ServersChanged {});
    fixture.place("nowhere");
    REQUIRE(fixture.refusals.at("nowhere").code == RefusalCode::NoServers);
}

// Guards against requests to the servers of an evacuated data centre, and against servers that stay unused after it.
TEST_CASE("a dispatcher grants no server of an evacuated data centre until it is over")
{
    DispatcherFixture fixture(2, 1);
    auto evacuate = [&](bool evacuated) {
        fixture.serverList[0].evacuated = evacuated;
        fixture.send(ServersChanged { fixture.serverList });
    };
    fixture.place("sent");
    fixture.place("unsent");
    fixture.start(fixture.serverOf("sent") == "s0" ? "sent" : "unsent");
    evacuate(true);
    CHECK(fixture.revokes.empty());
    fixture.finish("sent");
    fixture.finish("unsent");
    fixture.place("r1");
    fixture.place("r2");
    CHECK(fixture.serverOf("r1") == "s1");
    CHECK_FALSE(fixture.grants.contains("r2"));
    evacuate(false);
    CHECK(fixture.serverOf("r2") == "s0");
    fixture.serverList[1].evacuated = true;
    evacuate(true);
    fixture.place("r3");
    CHECK(fixture.refusals.at("r3").code == RefusalCode::NoServers);
    CHECK(fixture.refusals.at("r3").retryAfter > Duration(0));
}

} // namespace lagoonspoke
