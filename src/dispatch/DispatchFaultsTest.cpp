#include "dispatch/DispatcherFixture.h"

#include <algorithm>
#include <set>

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

PlaceRequest makeMarked(const std::string& id, std::uint64_t fingerprint, int attempt = 1)
{
    auto place = DispatcherFixture::makePlace(id);
    place.fingerprint = Fingerprint { fingerprint };
    place.attempt = attempt;
    return place;
}

} // namespace

// Guards against one request that takes server after server down, and against punishing those that ran beside it.
TEST_CASE("a fingerprint is quarantined after its second death, an innocent one is not")
{
    DispatcherFixture kit(4, 2);
    kit.sendFromEntry(makeMarked("bad", 1));
    // The same server takes the second request once the others are full.
    for (int i = 0; i < 7; ++i) {
        kit.sendFromEntry(makeMarked("other" + std::to_string(i), 10 + static_cast<std::uint64_t>(i)));
    }
    std::string innocent;
    for (const auto& [id, grant] : kit.grants) {
        if (id != "bad" && grant.server.value() == kit.serverOf("bad")) {
            innocent = id;
        }
    }
    REQUIRE(!innocent.empty());
    auto innocentFingerprint = 10 + static_cast<std::uint64_t>(innocent.back() - '0');
    kit.finish("bad", FinishOutcome::ServerDied);
    kit.finish(innocent, FinishOutcome::ServerDied);
    REQUIRE(kit.quarantines.empty());
    for (int i = 0; i < 7; ++i) {
        if (auto id = "other" + std::to_string(i); id != innocent) {
            kit.finish(id);
        }
    }
    kit.forget();
    kit.sendFromEntry(makeMarked("bad", 1, 2));
    kit.sendFromEntry(makeMarked(innocent, innocentFingerprint, 2));
    kit.place("bystander");
    // Suspects run alone.
    REQUIRE(kit.serverOf("bad") != kit.serverOf(innocent));
    REQUIRE(kit.serverOf("bystander") != kit.serverOf("bad"));
    REQUIRE(kit.serverOf("bystander") != kit.serverOf(innocent));
    kit.finish("bad", FinishOutcome::ServerDied);
    kit.finish(innocent);
    REQUIRE(kit.quarantines == std::vector { Fingerprint { 1 } });
    kit.sendFromEntry(makeMarked("again", 1));
    REQUIRE(kit.refusals.at("again").code == RefusalCode::Quarantined);
    REQUIRE(kit.refusals.at("again").retryAfter == Duration(10min));
    kit.sendFromEntry(makeMarked("cleared", innocentFingerprint));
    REQUIRE(!kit.refusals.contains("cleared"));
    kit.advance(10min);
    kit.sendFromEntry(makeMarked("later", 1));
    REQUIRE(!kit.refusals.contains("later"));
}

// Guards against servers that are kept free for the requests of a crowded server that died: after an eviction and ten
// crashes, 26 of 47 servers took no other work for seconds.
TEST_CASE("After the death of a crowded server, its requests run beside others again until a second one dies")
{
    DispatcherFixture kit(3, 12);
    for (int i = 0; i < 36; ++i) {
        kit.sendFromEntry(makeMarked(fmt::format("r{}", i), 100 + static_cast<std::uint64_t>(i)));
    }
    auto died = kit.serverOf("r0");
    std::vector<int> lost;
    for (int i = 0; i < 36; ++i) {
        if (kit.serverOf(fmt::format("r{}", i)) == died) {
            lost.push_back(i);
        }
    }
    REQUIRE(lost.size() == 12);
    for (int i : lost) {
        kit.finish(fmt::format("r{}", i), FinishOutcome::ServerDied);
    }
    for (int i = 0; i < 36; ++i) {
        if (!std::ranges::count(lost, i)) {
            kit.finish(fmt::format("r{}", i));
        }
    }
    kit.forget();
    for (int i : lost) {
        kit.sendFromEntry(makeMarked(fmt::format("r{}", i), 100 + static_cast<std::uint64_t>(i), 2));
    }
    CHECK(kit.grants.size() == 12);
    std::set<std::string> servers;
    for (const auto& [id, grant] : kit.grants) {
        servers.insert(grant.server.value());
    }
    CHECK(servers.size() < 12);
    CHECK(kit.quarantines.empty());
}

// Guards against ignoring the deaths that another dispatcher saw.
TEST_CASE("a quarantine heard from another dispatcher refuses waiting and later requests")
{
    DispatcherFixture kit(1, 1);
    kit.place("running");
    kit.sendFromEntry(makeMarked("waiting", 7));
    kit.send(QuarantineReceived { Fingerprint { 7 }, 5s });
    REQUIRE(kit.refusals.at("waiting").code == RefusalCode::Quarantined);
    kit.advance(5s);
    kit.sendFromEntry(makeMarked("later", 7));
    REQUIRE(!kit.refusals.contains("later"));
}

// Guards against retries multiplying the load of a failing domain.
TEST_CASE("retries stay within a tenth of fresh requests")
{
    DispatcherFixture kit(1, 1000);
    int refused = 0;
    for (int i = 0; i < 200; ++i) {
        kit.place("fresh" + std::to_string(i));
        kit.sendFromEntry(makeMarked("retry" + std::to_string(i), 0, 2));
        refused += kit.refusals.contains("retry" + std::to_string(i)) ? 1 : 0;
    }
    // 20 at once and a tenth of 200.
    REQUIRE(200 - refused <= 40);
    REQUIRE(200 - refused >= 38);
}

// Guards against a repeated resync that counts slots twice and so halves the capacity, and against a lost slot.
TEST_CASE("resync counts each request and grant once")
{
    DispatcherFixture kit(1, 2);
    Resync resync;
    resync.entry = InstanceId("e1");
    resync.held.push_back(
        { DispatcherFixture::makePlace("held"), GrantId { 5 }, BackendServerId("s0"), Tokens { 40 } });
    resync.waiting.push_back(DispatcherFixture::makePlace("waiting"));
    kit.sendFromEntry(resync);
    kit.sendFromEntry(resync);
    REQUIRE(kit.grants.size() == 1);
    // The grant is repeated under the same id, as the first may have been lost with the link.
    REQUIRE(kit.granted.size() == 2);
    kit.place("third");
    REQUIRE(!kit.grants.contains("third"));
    Progress done;
    done.request = RequestId("held");
    done.grant = GrantId { 5 };
    done.finished = true;
    kit.sendFromEntry(done);
    REQUIRE(kit.grants.contains("third"));
    REQUIRE(kit.grants.at("third").grant > GrantId { 5 });
}

// Guards against a successor that refuses for capacity before the entries have sent their state.
TEST_CASE("nothing is refused for capacity while settling")
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

// Guards against slots lost to entries that never use their grants, and against freeing one that is in use.
TEST_CASE("an unused grant expires and a late report takes its slot back")
{
    DispatcherFixture kit(1, 1);
    kit.place("unused");
    kit.place("next");
    kit.advance(3s);
    REQUIRE(kit.grants.contains("next"));
    REQUIRE(kit.counters().expiredGrants == 1);
    kit.start("next");
    kit.start("unused");
    kit.finish("next");
    kit.place("third");
    REQUIRE(!kit.grants.contains("third"));
    kit.finish("unused");
    REQUIRE(kit.grants.contains("third"));
    kit.start("third");
    kit.advance(30s);
    REQUIRE(kit.counters().expiredGrants == 1);
}

// Guards against slots held for an instance that is gone.
TEST_CASE("a lost entry's requests and grants are void")
{
    DispatcherFixture kit(1, 1);
    kit.sendFromEntry(DispatcherFixture::makePlace("held"), "gone");
    kit.sendFromEntry(DispatcherFixture::makePlace("waiting"), "gone");
    kit.place("other");
    kit.send(EntryLost { InstanceId("gone") });
    REQUIRE(kit.granted == std::vector<std::string> { "held", "other" });
}

// Guards against work sent to a server that leaves (G11), and against interrupting work that has started.
TEST_CASE("a leaving server gets no grant and unstarted work is taken back")
{
    DispatcherFixture kit(1, 3);
    kit.place("started");
    kit.start("started");
    kit.place("unstarted");
    kit.list[0].leaving = true;
    kit.send(ServersChanged { kit.list });
    REQUIRE(
        kit.revokes == std::vector { std::pair<std::string, RevokeReason>("unstarted", RevokeReason::ServerLeaving) });
    kit.list.push_back({ BackendServerId("s1"), DataCentreId("a"), TargetName("m"), "127.0.0.1:2", 1 });
    kit.send(ServersChanged { kit.list });
    kit.finish("unstarted", FinishOutcome::Aborted);
    kit.place("unstarted");
    REQUIRE(kit.serverOf("unstarted") == "s1");
}

// Guards against two dispatchers of one domain breaking the order of tiers between them.
TEST_CASE("nothing below the highest fresh floor is admitted")
{
    DispatcherFixture kit(1, 4);
    kit.send(FloorReceived { InstanceId("i2"), Tier { 1 } });
    kit.send(FloorReceived { InstanceId("i3"), Tier { 2 } });
    kit.place("low", 2);
    kit.place("high", 1);
    REQUIRE(kit.granted == std::vector<std::string> { "high" });
    REQUIRE(kit.floors.empty());
    kit.advance(3s);
    REQUIRE(kit.grants.contains("low"));
}

// Guards against a floor that its hearers forget while the backlog lasts.
TEST_CASE("a dispatcher with a backlog tells its floor again before it goes stale")
{
    DispatcherFixture kit(1, 1);
    kit.place("running", 1);
    kit.start("running");
    kit.place("waiting", 1);
    for (int i = 0; i < 25; ++i) {
        kit.advance(100ms);
    }
    REQUIRE(kit.floors.size() >= 2);
    REQUIRE(kit.floors.front() == 1);
    kit.finish("running");
    kit.advance(300ms);
    REQUIRE(kit.floors.back() == 255);
}

} // namespace lagoonspoke
