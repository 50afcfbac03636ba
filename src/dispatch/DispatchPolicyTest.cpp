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

// Guards against a lower tier running before a higher one that waits longer than the shares allow.
TEST_CASE("a free slot goes to the highest waiting tier")
{
    DispatcherFixture kit(1, 1);
    kit.place("first");
    kit.place("low", 2);
    kit.place("high", 0);
    kit.finish("first");
    REQUIRE(kit.granted == std::vector<std::string> { "first", "high" });
}

// Guards against starvation (G2): strict priority alone would never serve the low tier here.
TEST_CASE("a waiting lower tier gets its guaranteed share under endless higher load")
{
    DispatchOptions options;
    options.usePreemption = false;
    DispatcherFixture kit(1, 1, options);
    kit.place("h0");
    kit.place("low", 2);
    int served = 0;
    for (int i = 0; i < 400 && !kit.grants.contains("low"); ++i, ++served) {
        kit.place("h" + std::to_string(i + 1));
        // Longer than a tier's demand is remembered without waiting work.
        kit.now += 100ms;
        kit.finish("h" + std::to_string(i));
    }
    // The share is a fiftieth of the tokens.
    REQUIRE(kit.grants.contains("low"));
    REQUIRE(served > 10);
    REQUIRE(kit.counters().guaranteedGrants == 1);
}

// Guards against a higher tier that waits behind lower work (G1), and against preempting work that may run only once.
TEST_CASE("a higher tier takes a slot back from idempotent lower work")
{
    DispatcherFixture kit(1, 2);
    kit.teach(5s);
    auto once = DispatcherFixture::makePlace("once", 2);
    once.idempotent = false;
    kit.sendFromEntry(once);
    kit.place("twice", 2);
    kit.place("middle", 1);
    kit.advance(2s);
    REQUIRE(kit.revokes == std::vector { std::pair<std::string, RevokeReason>("twice", RevokeReason::Preempted) });
    kit.finish("twice", FinishOutcome::Aborted);
    REQUIRE(kit.grants.contains("middle"));
    kit.sendFromEntry(DispatcherFixture::makePlace("twice", 2));
    REQUIRE(kit.refusals.empty());
}

// Guards against preempting a whole tier at once.
TEST_CASE("preemption keeps to its rate")
{
    DispatcherFixture kit(2, 10);
    kit.teach(5s);
    for (int i = 0; i < 20; ++i) {
        kit.place("low" + std::to_string(i), 2);
    }
    for (int i = 0; i < 20; ++i) {
        kit.place("high" + std::to_string(i));
    }
    // A tenth of 20 slots a second, and as much at once.
    kit.advance(1s);
    REQUIRE(kit.revokes.size() <= 4);
    REQUIRE(!kit.revokes.empty());
}

// Guards against refusing only after the caller gave up, and against a higher tier refused before a lower one.
TEST_CASE("an overloaded domain refuses early and from the lowest tier")
{
    DispatchOptions options;
    options.usePreemption = false;
    DispatcherFixture kit(1, 1, options);
    kit.teach(10s);
    kit.place("running");
    for (int i = 0; i < 6; ++i) {
        kit.place("low" + std::to_string(i), 1, "team" + std::to_string(i));
        kit.now += 30ms;
    }
    for (int i = 0; i < 4; ++i) {
        kit.place("high" + std::to_string(i));
        kit.now += 30ms;
    }
    kit.advance(30ms);
    REQUIRE(kit.refusals.size() >= 5);
    for (const auto& [id, refusal] : kit.refusals) {
        REQUIRE(id.starts_with("low"));
        REQUIRE(refusal.code == RefusalCode::Overloaded);
        REQUIRE(refusal.retryAfter > Duration(0));
    }
}

// Guards against a queue that grows without bound, and against dropping a higher class while a lower one waits.
TEST_CASE("a full queue refuses a lower tier's request before its own")
{
    DispatcherFixture kit(1, 1);
    kit.send(ConfigurationChanged { makeSnapshot({}) });
    kit.place("running");
    kit.place("low0", 2, "t2");
    kit.place("low1", 2, "t3");
    kit.place("h0");
    kit.place("h1");
    kit.place("h2");
    REQUIRE(kit.refusals.size() == 1);
    REQUIRE(kit.refusals.begin()->first.starts_with("low"));
    kit.place("h3");
    REQUIRE(kit.refusals.size() == 2);
    REQUIRE(std::ranges::count_if(kit.refusals, [](const auto& it) { return it.second.code == RefusalCode::QueueFull; })
        == 1);
}

// Guards against a team exceeding its limits by using many entries.
TEST_CASE("team limits hold over all entries")
{
    DispatcherFixture kit(4, 10);
    TeamLimits limits;
    limits.concurrent = 2;
    kit.send(ConfigurationChanged { makeSnapshot(limits) });
    for (int i = 0; i < 3; ++i) {
        kit.sendFromEntry(DispatcherFixture::makePlace("r" + std::to_string(i)), "e" + std::to_string(i));
    }
    REQUIRE(kit.refusals.at("r2").code == RefusalCode::TeamLimit);
    kit.finish("r0");
    kit.place("r3");
    REQUIRE(kit.grants.contains("r3"));
    limits.concurrent.reset();
    limits.requestsPerSecond = 1;
    kit.send(ConfigurationChanged { makeSnapshot(limits) });
    kit.place("r4");
    kit.place("r5");
    REQUIRE(kit.refusals.at("r5").code == RefusalCode::TeamLimit);
    REQUIRE(kit.refusals.at("r5").retryAfter == Duration(1s));
}

// Guards against waiting for a deadline that no server can meet, and for a server that does not exist.
TEST_CASE("hopeless requests are refused at once")
{
    DispatcherFixture kit(1, 1);
    auto place = DispatcherFixture::makePlace("short");
    place.promptTokens = Tokens { 80000 };
    place.remaining = 1s;
    kit.sendFromEntry(place);
    REQUIRE(kit.refusals.at("short").code == RefusalCode::DeadlineTooShort);
    kit.send(ServersChanged {});
    kit.place("nowhere");
    REQUIRE(kit.refusals.at("nowhere").code == RefusalCode::NoServers);
}

} // namespace lagoonspoke
