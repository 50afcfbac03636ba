#include "dispatch/DispatcherFixture.h"

#include <algorithm>
#include <set>

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

PlaceRequest makePlaceWithFingerprint(const std::string& id, std::uint64_t fingerprint, int attempt = 1)
{
    auto place = DispatcherFixture::makePlace(id);
    place.fingerprint = Fingerprint { fingerprint };
    place.attempt = attempt;
    return place;
}

} // namespace

// Guards against a request that crashes one server after another, and against quarantining the requests that ran on the
// same server when it crashed.
TEST_CASE("a fingerprint is quarantined after its second death, an innocent one is not")
{
    DispatcherFixture fixture(4, 2);
    fixture.sendFromEntry(makePlaceWithFingerprint("bad", 1));
    // Eight requests fill all slots, so one of them shares the server of "bad".
    for (int i = 0; i < 7; ++i) {
        fixture.sendFromEntry(
            makePlaceWithFingerprint("other" + std::to_string(i), 10 + static_cast<std::uint64_t>(i)));
    }
    std::string innocent;
    for (const auto& [id, grant] : fixture.grants) {
        if (id != "bad" && grant.server.value() == fixture.serverOf("bad")) {
            innocent = id;
        }
    }
    REQUIRE(!innocent.empty());
    auto innocentFingerprint = 10 + static_cast<std::uint64_t>(innocent.back() - '0');
    fixture.finish("bad", FinishOutcome::ServerDied);
    fixture.finish(innocent, FinishOutcome::ServerDied);
    REQUIRE(fixture.quarantines.empty());
    for (int i = 0; i < 7; ++i) {
        if (auto id = "other" + std::to_string(i); id != innocent) {
            fixture.finish(id);
        }
    }
    fixture.clearRecords();
    fixture.advance(1ms);
    fixture.sendFromEntry(makePlaceWithFingerprint("bad", 1, 2));
    fixture.sendFromEntry(makePlaceWithFingerprint(innocent, innocentFingerprint, 2));
    fixture.place("bystander");
    // Each suspect is isolated on a server of its own.
    REQUIRE(fixture.serverOf("bad") != fixture.serverOf(innocent));
    REQUIRE(fixture.serverOf("bystander") != fixture.serverOf("bad"));
    REQUIRE(fixture.serverOf("bystander") != fixture.serverOf(innocent));
    fixture.finish("bad", FinishOutcome::ServerDied);
    fixture.finish(innocent);
    REQUIRE(fixture.quarantines == std::vector { Fingerprint { 1 } });
    fixture.sendFromEntry(makePlaceWithFingerprint("again", 1));
    REQUIRE(fixture.refusals.at("again").code == RefusalCode::Quarantined);
    REQUIRE(fixture.refusals.at("again").retryAfter == Duration(30s));
    fixture.sendFromEntry(makePlaceWithFingerprint("cleared", innocentFingerprint));
    REQUIRE(!fixture.refusals.contains("cleared"));
}

// Guards against a quarantine that outlasts its cause, and against one that ends for all requests at once.
TEST_CASE("after its quarantine a fingerprint is tested by one request, whose end renews or lifts it")
{
    DispatcherFixture fixture(4, 2);
    for (int i = 0; i < 2; ++i) {
        auto id = fmt::format("bad{}", i);
        fixture.advance(10ms);
        fixture.sendFromEntry(makePlaceWithFingerprint(id, 1));
        fixture.advance(10ms);
        fixture.finish(id, FinishOutcome::ServerDied);
    }
    REQUIRE(fixture.quarantines.size() == 1);
    fixture.advance(30s);
    fixture.sendFromEntry(makePlaceWithFingerprint("test", 1));
    fixture.sendFromEntry(makePlaceWithFingerprint("beside", 1));
    REQUIRE(fixture.grants.contains("test"));
    REQUIRE_FALSE(fixture.grants.contains("beside"));
    fixture.start("test");
    fixture.advance(10ms);
    fixture.finish("test", FinishOutcome::ServerDied);
    REQUIRE(fixture.refusals.at("beside").code == RefusalCode::Quarantined);
    REQUIRE(fixture.refusals.at("beside").retryAfter == Duration(60s));
    fixture.advance(60s);
    fixture.sendFromEntry(makePlaceWithFingerprint("sound", 1));
    fixture.sendFromEntry(makePlaceWithFingerprint("next0", 1));
    fixture.sendFromEntry(makePlaceWithFingerprint("next1", 1));
    REQUIRE_FALSE(fixture.grants.contains("next0"));
    fixture.finish("sound");
    CHECK(fixture.grants.contains("next0"));
    CHECK(fixture.grants.contains("next1"));
}

// Guards against the quarantine of a much asked request that ran on several servers of a rack that failed.
TEST_CASE("servers that fail together quarantine none of their requests")
{
    DispatcherFixture fixture(4, 1);
    for (int i = 0; i < 4; ++i) {
        fixture.sendFromEntry(makePlaceWithFingerprint(fmt::format("r{}", i), 1));
        fixture.start(fmt::format("r{}", i));
    }
    for (int i = 0; i < 4; ++i) {
        fixture.advance(10ms);
        fixture.finish(fmt::format("r{}", i), FinishOutcome::ServerDied);
    }
    CHECK(fixture.quarantines.empty());
}

// Guards against a block of sound requests whose connections were closed by servers that go on.
TEST_CASE("connections that break by themselves quarantine no request")
{
    DispatcherFixture fixture(4, 2);
    for (int i = 0; i < 10; ++i) {
        auto id = fmt::format("r{}", i);
        fixture.sendFromEntry(makePlaceWithFingerprint(id, 1));
        REQUIRE(fixture.grants.contains(id));
        fixture.start(id);
        fixture.advance(100ms);
        fixture.finish(id, FinishOutcome::Disconnected);
    }
    CHECK(fixture.quarantines.empty());
    CHECK(fixture.refusals.empty());
}

// Guards against isolating every request of a crowded server that died, each on a server of its own: after an eviction
// and ten crashes, 26 of 47 servers accepted no other work for seconds.
TEST_CASE("after the death of a crowded server, its requests share servers again until a second death")
{
    DispatcherFixture fixture(3, 12);
    for (int i = 0; i < 36; ++i) {
        fixture.sendFromEntry(makePlaceWithFingerprint(fmt::format("r{}", i), 100 + static_cast<std::uint64_t>(i)));
    }
    auto deadServer = fixture.serverOf("r0");
    std::vector<int> lost;
    for (int i = 0; i < 36; ++i) {
        if (fixture.serverOf(fmt::format("r{}", i)) == deadServer) {
            lost.push_back(i);
        }
    }
    REQUIRE(lost.size() == 12);
    for (int i : lost) {
        fixture.finish(fmt::format("r{}", i), FinishOutcome::ServerDied);
    }
    for (int i = 0; i < 36; ++i) {
        if (!std::ranges::count(lost, i)) {
            fixture.finish(fmt::format("r{}", i));
        }
    }
    fixture.clearRecords();
    for (int i : lost) {
        fixture.sendFromEntry(makePlaceWithFingerprint(fmt::format("r{}", i), 100 + static_cast<std::uint64_t>(i), 2));
    }
    CHECK(fixture.grants.size() == 12);
    std::set<std::string> servers;
    for (const auto& [id, grant] : fixture.grants) {
        servers.insert(grant.server.value());
    }
    CHECK(servers.size() < 12);
    CHECK(fixture.quarantines.empty());
}

// Guards against ignoring a quarantine that another dispatcher published: it applies to waiting and new requests.
TEST_CASE("a quarantine received from another dispatcher refuses waiting and later requests")
{
    DispatcherFixture fixture(1, 1);
    fixture.place("running");
    fixture.sendFromEntry(makePlaceWithFingerprint("waiting", 7));
    fixture.send(QuarantineReceived { Fingerprint { 7 }, 5s });
    REQUIRE(fixture.refusals.at("waiting").code == RefusalCode::Quarantined);
    fixture.advance(5s);
    fixture.sendFromEntry(makePlaceWithFingerprint("later", 7));
    REQUIRE(!fixture.refusals.contains("later"));
}

// Guards against retries multiplying the load of a failing domain.
TEST_CASE("retries stay within a tenth of fresh requests")
{
    DispatcherFixture fixture(1, 1000);
    int refused = 0;
    for (int i = 0; i < 200; ++i) {
        fixture.place("fresh" + std::to_string(i));
        fixture.sendFromEntry(makePlaceWithFingerprint("retry" + std::to_string(i), 0, 2));
        refused += fixture.refusals.contains("retry" + std::to_string(i)) ? 1 : 0;
    }
    // The budget starts with 20 retries and gains a tenth of 200.
    REQUIRE(200 - refused <= 40);
    REQUIRE(200 - refused >= 38);
}

// Guards against a repeated resync that counts slots twice and so halves the capacity, and against a leaked slot.
TEST_CASE("resync counts each request and grant once")
{
    DispatcherFixture fixture(1, 2);
    Resync resync;
    resync.entry = InstanceId("e1");
    resync.held.push_back(
        { DispatcherFixture::makePlace("held"), GrantId { 5 }, BackendServerId("s0"), Tokens { 40 } });
    resync.waiting.push_back(DispatcherFixture::makePlace("waiting"));
    fixture.sendFromEntry(resync);
    fixture.sendFromEntry(resync);
    REQUIRE(fixture.grants.size() == 1);
    // The grant is sent again under the same id, since the first message may have been lost with the connection.
    REQUIRE(fixture.granted.size() == 2);
    fixture.place("third");
    REQUIRE(!fixture.grants.contains("third"));
    Progress progress;
    progress.request = RequestId("held");
    progress.grant = GrantId { 5 };
    progress.finished = true;
    fixture.sendFromEntry(progress);
    REQUIRE(fixture.grants.contains("third"));
    REQUIRE(fixture.grants.at("third").grant > GrantId { 5 });
}

// Guards against a new dispatcher that refuses for lack of capacity before the entries have sent their state.
TEST_CASE("no request is refused for lack of capacity during the settling time")
{
    auto dispatcher = Dispatcher::Make(DomainId("riga/m"));
    MonotonicTime now(1s);
    auto refusalIn = [](const std::vector<DispatchAction>& actions) -> std::optional<RefusalCode> {
        for (const auto& action : actions) {
            if (const auto* send = std::get_if<SendToEntry>(&action)) {
                return std::get<Refusal>(send->message).code;
            }
        }
        return std::nullopt;
    };
    auto place = DispatcherFixture::makePlace("r");
    REQUIRE(!refusalIn(dispatcher.handle(EntryMessageReceived { InstanceId("e1"), place, {} }, now)));
    now += 999ms;
    REQUIRE(!refusalIn(dispatcher.advance(now)));
    now += 1ms;
    REQUIRE(refusalIn(dispatcher.advance(now)) == RefusalCode::NoServers);
}

// Guards against slots leaked to entries that never use their grants, and against freeing a slot whose first progress
// report is late.
TEST_CASE("an unused grant expires and a late progress report reclaims its slot")
{
    DispatcherFixture fixture(1, 1);
    fixture.place("unused");
    fixture.place("next");
    fixture.advance(3s);
    REQUIRE(fixture.grants.contains("next"));
    REQUIRE(fixture.counters().expiredGrants == 1);
    fixture.start("next");
    fixture.start("unused");
    fixture.finish("next");
    fixture.place("third");
    REQUIRE(!fixture.grants.contains("third"));
    fixture.finish("unused");
    REQUIRE(fixture.grants.contains("third"));
    fixture.start("third");
    fixture.advance(30s);
    REQUIRE(fixture.counters().expiredGrants == 1);
}

// Guards against slots that stay occupied by grants of an instance that is gone.
TEST_CASE("the requests and grants of a lost entry are dropped")
{
    DispatcherFixture fixture(1, 1);
    fixture.sendFromEntry(DispatcherFixture::makePlace("held"), "gone");
    fixture.sendFromEntry(DispatcherFixture::makePlace("waiting"), "gone");
    fixture.place("other");
    fixture.send(EntryLost { InstanceId("gone") });
    REQUIRE(fixture.granted == std::vector<std::string> { "held", "other" });
}

// Guards against granting work to a leaving server (G11), and against revoking work that has started.
TEST_CASE("a leaving server gets no grant and unstarted grants on it are revoked")
{
    DispatcherFixture fixture(1, 3);
    fixture.place("started");
    fixture.start("started");
    fixture.place("unstarted");
    fixture.serverList[0].leaving = true;
    fixture.send(ServersChanged { fixture.serverList });
    REQUIRE(fixture.revokes
        == std::vector { std::pair<std::string, RevokeReason>("unstarted", RevokeReason::ServerLeaving) });
    fixture.serverList.push_back({ BackendServerId("s1"), DataCentreId("a"), TargetName("m"), "127.0.0.1:2", 1 });
    fixture.send(ServersChanged { fixture.serverList });
    fixture.finish("unstarted", FinishOutcome::Aborted);
    fixture.place("unstarted");
    REQUIRE(fixture.serverOf("unstarted") == "s1");
}

// Guards against two dispatchers of a domain granting a lower tier while the other one has higher tiers waiting.
TEST_CASE("no tier below the highest fresh floor is granted")
{
    DispatcherFixture fixture(1, 4);
    fixture.send(FloorReceived { InstanceId("i2"), Tier { 1 } });
    fixture.send(FloorReceived { InstanceId("i3"), Tier { 2 } });
    fixture.place("low", 2);
    fixture.place("high", 1);
    REQUIRE(fixture.granted == std::vector<std::string> { "high" });
    REQUIRE(fixture.floors.empty());
    fixture.advance(3s);
    REQUIRE(fixture.grants.contains("low"));
}

// Guards against a published floor that expires at the other dispatchers while the backlog lasts.
TEST_CASE("a dispatcher with a backlog publishes its floor again before it goes stale")
{
    DispatcherFixture fixture(1, 1);
    fixture.place("running", 1);
    fixture.start("running");
    fixture.place("waiting", 1);
    for (int i = 0; i < 25; ++i) {
        fixture.advance(100ms);
    }
    REQUIRE(fixture.floors.size() >= 2);
    REQUIRE(fixture.floors.front() == 1);
    fixture.finish("running");
    fixture.advance(300ms);
    REQUIRE(fixture.floors.back() == 255);
}

// Guards against streams that go on at a server of another software version than the one that began them.
TEST_CASE("a request that is bound to a software version gets servers of that version only")
{
    bool hasPrompt = GENERATE(false, true);
    DispatcherFixture fixture(2, 4);
    fixture.serverList[0].softwareVersion = SoftwareVersion("v1");
    fixture.serverList[1].softwareVersion = SoftwareVersion("v2");
    fixture.send(ServersChanged { fixture.serverList });
    auto place = [&](const std::string& id, const char* version) {
        auto request = DispatcherFixture::makePlace(id);
        if (hasPrompt) {
            request.prefix = { PrefixBlock(1), PrefixBlock(2) };
            request.prefixTokens = { Tokens { 50 }, Tokens { 50 } };
        }
        request.softwareVersion = SoftwareVersion(version);
        fixture.sendFromEntry(request);
    };
    for (int i = 0; i < 4; ++i) {
        place("new" + std::to_string(i), "v2");
    }
    fixture.advance(100ms);
    for (int i = 0; i < 4; ++i) {
        auto id = "new" + std::to_string(i);
        REQUIRE(fixture.grants.contains(id));
        CHECK(fixture.grants.at(id).server == BackendServerId("s1"));
        CHECK(fixture.grants.at(id).softwareVersion == SoftwareVersion("v2"));
    }
    // No slot of the version is free, so it waits although the other server is idle.
    place("waits", "v2");
    fixture.advance(100ms);
    CHECK_FALSE(fixture.grants.contains("waits"));
    CHECK_FALSE(fixture.refusals.contains("waits"));
    fixture.finish("new0");
    fixture.advance(100ms);
    CHECK(fixture.grants.contains("waits"));
    // None is left, and then none comes any more.
    place("gone", "v0");
    CHECK(fixture.refusals.at("gone").code == RefusalCode::VersionGone);
    place("leaves", "v2");
    REQUIRE_FALSE(fixture.grants.contains("leaves"));
    REQUIRE_FALSE(fixture.refusals.contains("leaves"));
    fixture.serverList[1].leaving = true;
    fixture.send(ServersChanged { fixture.serverList });
    CHECK(fixture.refusals.at("leaves").code == RefusalCode::VersionGone);
}

} // namespace lagoonspoke
