#include "dispatch/routing/PlacementRouter.h"

#include <catch2/catch.hpp>

#include "dispatch/SimulatedCluster.h"
#include "membership/Rendezvous.h"

namespace lagoonspoke {

using namespace std::chrono_literals;

namespace {

const DomainId domain("riga/m");
const MonotonicTime start(1h);

std::vector<Member> makeMembers()
{
    std::vector<Member> members;
    for (const auto* name : { "e0", "e1", "e2" }) {
        members.push_back({ InstanceId(name), DataCentreId("a"), RegionId("riga"), "a:1", makeIncarnation(1) });
    }
    return members;
}

PlaceRequest makePlace(std::string id, std::uint8_t tier = 2)
{
    PlaceRequest place;
    place.request = RequestId(std::move(id));
    place.domain = domain;
    place.tier = { tier };
    place.remaining = 20s;
    return place;
}

BackendServer makeServer(std::string id, int slots)
{
    return { BackendServerId(std::move(id)), DataCentreId("a"), TargetName("m"), "127.0.0.1:1", slots };
}

// A router of an instance that does not own the domain.
struct EntryFixture {
    EntryFixture()
    {
        owner = *ownerOf(domain, makeMembers());
        PlacementRouter::Options options;
        options.self = owner == InstanceId("e0") ? InstanceId("e1") : InstanceId("e0");
        router = PlacementRouter::Make(options);
        router->handle(MembersUpdated { makeMembers() }, start);
        router->handle(ServersChanged { { makeServer("s1", 3), makeServer("s2", 3) } }, start);
    }

    std::vector<RouterAction> place(const PlaceRequest& request, MonotonicTime now = start)
    {
        return router->handle(ThreadMessage { 0, request }, now);
    }
    std::vector<RouterAction> fromOwner(PlacementMessage message, MonotonicTime now = start)
    {
        return router->handle(PeerMessage { owner, { domain, std::move(message) } }, now);
    }

    // The answer to the request that has the grant 5 says this of its server.
    void reportSignal(std::string request, ServerSignal signal)
    {
        Progress progress;
        progress.request = RequestId(std::move(request));
        progress.grant = GrantId(5);
        progress.domain = domain;
        progress.signal = signal;
        router->handle(ThreadMessage { 0, progress }, start);
    }

    InstanceId owner;
    std::optional<PlacementRouter> router;
};

template <typename Message> std::vector<Message> deliveredMessages(const std::vector<RouterAction>& actions)
{
    std::vector<Message> messages;
    for (const auto& action : actions) {
        if (const auto* it = std::get_if<DeliverToThread>(&action);
            it && std::holds_alternative<Message>(it->message)) {
            messages.push_back(std::get<Message>(it->message));
        }
    }
    return messages;
}

template <typename Message>
std::vector<std::pair<InstanceId, Message>> sentMessages(const std::vector<RouterAction>& actions)
{
    std::vector<std::pair<InstanceId, Message>> messages;
    for (const auto& action : actions) {
        if (const auto* it = std::get_if<SendToPeer>(&action);
            it && std::holds_alternative<Message>(it->packet.message)) {
            messages.emplace_back(it->to, std::get<Message>(it->packet.message));
        }
    }
    return messages;
}

} // namespace

// Guards against a new dispatcher that never receives waiting requests and active grants, and against a resync whose
// remaining and waited times were not updated.
TEST_CASE("a new owner receives the waiting requests and the active grants")
{
    EntryFixture entry;
    entry.place(makePlace("r1"));
    entry.place(makePlace("r2"));
    entry.fromOwner(Grant { RequestId("r1"), GrantId(5), BackendServerId("s1"), "a:1", 2s });
    entry.fromOwner(Accepted { RequestId("r2") });
    auto members = makeMembers();
    std::erase_if(members, [&](const Member& it) { return it.id == entry.owner; });
    entry.router->handle(MembersUpdated { members }, start + 4s);
    auto actions = entry.router->advance(start + 4s);
    std::optional<Resync> resync;
    for (const auto& [to, message] : sentMessages<Resync>(actions)) {
        resync = message;
    }
    for (const auto& action : actions) {
        if (const auto* send = std::get_if<SendToDispatcher>(&action)) {
            resync = std::get<Resync>(std::get<EntryMessageReceived>(send->event).message);
        }
    }
    REQUIRE(resync);
    REQUIRE(resync->held.size() == 1);
    REQUIRE(resync->held[0].grant == GrantId(5));
    REQUIRE(resync->waiting.size() == 1);
    REQUIRE(resync->waiting[0].remaining == 16s);
    REQUIRE(resync->waiting[0].waited == 4s);
}

// Guards against two attempts at one request, and against a slot that stays occupied by the unused grant.
TEST_CASE("the second grant of a request is returned to its dispatcher")
{
    EntryFixture entry;
    entry.place(makePlace("r1"));
    REQUIRE(deliveredMessages<Grant>(
                entry.fromOwner(Grant { RequestId("r1"), GrantId(5), BackendServerId("s1"), "a:1", 2s }))
                .size()
        == 1);
    auto actions = entry.fromOwner(Grant { RequestId("r1"), GrantId(6), BackendServerId("s2"), "a:1", 2s });
    REQUIRE(deliveredMessages<Grant>(actions).empty());
    auto returned = sentMessages<Progress>(actions);
    REQUIRE(returned.size() == 1);
    REQUIRE(returned[0].first == entry.owner);
    REQUIRE(returned[0].second.grant == GrantId(6));
    REQUIRE(returned[0].second.finished);
}

// Guards against a request that reaches a leaving server, because a dispatcher that was cut off does not know of it.
TEST_CASE("a grant for a server that the entry knows to leave is returned, and another one requested")
{
    EntryFixture entry;
    bool isListed = GENERATE(true, false);
    std::vector<BackendServer> servers { makeServer("s2", 3) };
    if (isListed) {
        servers.push_back(makeServer("s1", 3));
        servers.back().leaving = true;
    }
    entry.router->handle(ServersChanged { servers }, start);
    entry.place(makePlace("r1"));
    auto actions = entry.fromOwner(Grant { RequestId("r1"), GrantId(5), BackendServerId("s1"), "a:1", 2s }, start + 1s);
    CHECK(deliveredMessages<Grant>(actions).empty());
    auto returned = sentMessages<Progress>(actions);
    REQUIRE(returned.size() == 1);
    CHECK(returned[0].second.finished);
    auto requested = sentMessages<PlaceRequest>(actions);
    REQUIRE(requested.size() == 1);
    CHECK(requested[0].second.excluded == std::vector { BackendServerId("s1") });
    CHECK(requested[0].second.remaining == 19s);
    // A dispatcher that has nothing else is not asked for ever.
    actions = entry.fromOwner(Grant { RequestId("r1"), GrantId(6), BackendServerId("s1"), "a:1", 2s }, start + 1s);
    CHECK(sentMessages<PlaceRequest>(actions).empty());
    auto local = deliveredMessages<Grant>(entry.router->advance(start + 1200ms));
    REQUIRE(local.size() == 1);
    CHECK(local[0].server == BackendServerId("s2"));
}

// Guards against a request that is sent to a leaving server on a grant from before the news.
TEST_CASE("grants for a server that is found to leave are ended, whoever gave them and however the news came")
{
    EntryFixture entry;
    entry.place(makePlace("granted"));
    entry.fromOwner(Grant { RequestId("granted"), GrantId(5), BackendServerId("s1"), "a:1", 2s });
    auto place = makePlace("local");
    place.excluded = { BackendServerId("s2") };
    entry.place(place);
    auto local = deliveredMessages<Grant>(entry.router->advance(start + 1s));
    REQUIRE(local.size() == 1);
    REQUIRE(local[0].server == BackendServerId("s1"));
    auto ended = [&](const std::vector<RouterAction>& actions) {
        std::set<GrantId> grants;
        for (const auto& it : deliveredMessages<Revoke>(actions)) {
            CHECK(it.reason == RevokeReason::ServerLeaving);
            grants.insert(it.grant);
        }
        return grants;
    };
    const std::set both { GrantId(5), local[0].grant };
    auto leaving = makeServer("s1", 3);
    leaving.leaving = true;
    SECTION("its entry says so")
    {
        CHECK(ended(entry.router->handle(ServersChanged { { leaving, makeServer("s2", 3) } }, start + 2s)) == both);
        // Once is enough.
        CHECK(ended(entry.router->handle(ServersChanged { { leaving } }, start + 3s)).empty());
    }
    SECTION("its data centre is evacuated")
    {
        auto evacuated = makeServer("s1", 3);
        evacuated.evacuated = true;
        CHECK(ended(entry.router->handle(ServersChanged { { evacuated, makeServer("s2", 3) } }, start + 2s)) == both);
        // A dispatcher that does not know of it yet grants it once more.
        entry.place(makePlace("late"));
        auto late = entry.fromOwner(Grant { RequestId("late"), GrantId(6), BackendServerId("s1"), "a:1", 2s });
        CHECK(deliveredMessages<Grant>(late).empty());
        CHECK(sentMessages<Progress>(late).size() == 1);
    }
    SECTION("its entry is removed")
    {
        CHECK(ended(entry.router->handle(ServersChanged { { makeServer("s2", 3) } }, start + 2s)) == both);
    }
    SECTION("an answer says so")
    {
        Progress progress;
        progress.request = RequestId("granted");
        progress.grant = GrantId(5);
        progress.domain = domain;
        progress.signal = ServerSignal { true, {} };
        CHECK(ended(entry.router->handle(ThreadMessage { 0, progress }, start + 2s)) == both);
    }
    SECTION("another server leaves")
    {
        auto other = makeServer("s2", 3);
        other.leaving = true;
        CHECK(ended(entry.router->handle(ServersChanged { { makeServer("s1", 3), other } }, start + 2s)).empty());
    }
}

// Guards against requests to a server that said in an answer that it leaves, or takes none for some time, as neither
// the store nor the dispatcher knows of it.
TEST_CASE("a server that refuses further requests in an answer gets none from this instance")
{
    EntryFixture entry;
    entry.place(makePlace("r1"));
    entry.fromOwner(Grant { RequestId("r1"), GrantId(5), BackendServerId("s1"), "a:1", 2s });
    // Granted before the answer.
    entry.place(makePlace("r2"));
    entry.reportSignal("r1", { false, 4s });
    auto actions = entry.fromOwner(Grant { RequestId("r2"), GrantId(6), BackendServerId("s1"), "a:1", 2s }, start + 1s);
    CHECK(deliveredMessages<Grant>(actions).empty());
    CHECK(sentMessages<Progress>(actions).size() == 1);
    // Later requests name the server as one that they must not get.
    auto requested = sentMessages<PlaceRequest>(entry.place(makePlace("r3"), start + 1s));
    REQUIRE(requested.size() == 1);
    CHECK(requested[0].second.excluded == std::vector { BackendServerId("s1") });
    auto local = deliveredMessages<Grant>(entry.router->advance(start + 2s));
    CHECK(local.size() == 2);
    CHECK(std::ranges::count(local, BackendServerId("s2"), &Grant::server) == 2);
    // The pause ends.
    requested = sentMessages<PlaceRequest>(entry.place(makePlace("r4"), start + 4s));
    CHECK(requested[0].second.excluded.empty());
}

// Guards against requests that are held until their deadline, and against callers that all come back at the same time.
TEST_CASE("while all servers refuse requests, callers learn when to come back")
{
    EntryFixture entry;
    for (const auto* server : { "s1", "s2" }) {
        entry.place(makePlace(server));
        entry.fromOwner(Grant { RequestId(server), GrantId(5), BackendServerId(server), "a:1", 2s });
        entry.reportSignal(server, { false, 4s });
    }
    std::set<Duration> times;
    for (int i = 0; i < 20; ++i) {
        auto refused = deliveredMessages<Refusal>(entry.place(makePlace(fmt::format("r{}", i)), start + 1s));
        REQUIRE(refused.size() == 1);
        CHECK(refused[0].retryAfter >= 3s);
        CHECK(refused[0].retryAfter <= 4500ms);
        times.insert(refused[0].retryAfter);
    }
    CHECK(times.size() > 10);
    CHECK(deliveredMessages<Refusal>(entry.place(makePlace("later"), start + 4s)).empty());
}

// Guards against requests that wait for a dispatcher that is gone, and against local placement of a request that the
// dispatcher has acknowledged.
TEST_CASE("without an acknowledgement the instance places locally up to its share of the slots")
{
    EntryFixture entry;
    for (const auto* id : { "r1", "r2", "r3", "r4" }) {
        entry.place(makePlace(id));
    }
    entry.fromOwner(Accepted { RequestId("r4") });
    REQUIRE(entry.router->advance(start + 999ms).empty());
    auto grants = deliveredMessages<Grant>(entry.router->advance(start + 1s));
    // Three instances share six slots.
    REQUIRE(grants.size() == 2);
    REQUIRE(grants[0].request != RequestId("r4"));
}

// Guards against a timeout that each failed attempt to reach a dead dispatcher restarts.
TEST_CASE("broken links do not delay local placement")
{
    EntryFixture entry;
    entry.place(makePlace("r1"));
    entry.fromOwner(Accepted { RequestId("r1") });
    std::size_t grants = 0;
    for (auto time = start; time <= start + 1s; time += 100ms) {
        entry.router->handle(PeerLost { entry.owner }, time);
        grants += deliveredMessages<Grant>(entry.router->advance(time)).size();
    }
    REQUIRE(grants == 1);
}

// Guards against local placement of a tier that a dispatcher sheds at the same time.
TEST_CASE("local placement admits no tier below the highest fresh floor")
{
    EntryFixture entry;
    entry.place(makePlace("high", 1));
    entry.place(makePlace("low", 3));
    entry.router->handle(DomainFloorReceived { domain, { entry.owner, { 1 } } }, start);
    entry.router->handle(DomainFloorReceived { domain, { InstanceId("e9"), { 5 } } }, start);
    auto grants = deliveredMessages<Grant>(entry.router->advance(start + 1s));
    REQUIRE(grants.size() == 1);
    REQUIRE(grants[0].request == RequestId("high"));
    REQUIRE(deliveredMessages<Grant>(entry.router->advance(start + 2900ms)).empty());
    REQUIRE(deliveredMessages<Grant>(entry.router->advance(start + 3100ms)).size() == 1);
}

// Guards against an instance that crashes servers with a quarantined prompt part while no dispatcher responds.
TEST_CASE("local placement refuses a quarantined prompt part")
{
    constexpr Fingerprint part { 7 };
    constexpr Fingerprint companion { 8 };
    EntryFixture entry;
    entry.router->handle(QuarantineReceived { part, 10s, { companion } }, start);
    auto covered = makePlace("covered");
    covered.parts = { companion, part };
    entry.place(covered);
    auto other = makePlace("other");
    other.parts = { part };
    entry.place(other);
    auto actions = entry.router->advance(start + 1s);
    auto refusals = deliveredMessages<Refusal>(actions);
    REQUIRE(refusals.size() == 1);
    CHECK(refusals[0].request == RequestId("covered"));
    CHECK(refusals[0].code == RefusalCode::Quarantined);
    CHECK(deliveredMessages<Grant>(actions).size() == 1);
}

// Guards against a new dispatcher that runs requests that an earlier one has quarantined.
TEST_CASE("the quarantines of other dispatchers are kept for a new one until they end")
{
    EntryFixture entry;
    entry.router->handle(QuarantineReceived { Fingerprint { 7 }, 10s, { Fingerprint { 8 } } }, start);
    entry.router->handle(QuarantineReceived { Fingerprint { 9 }, 2s }, start);
    auto known = entry.router->quarantines(start + 3s);
    REQUIRE(known.size() == 1);
    CHECK(known[0].fingerprint == Fingerprint { 7 });
    CHECK(known[0].remaining == 7s);
    CHECK(known[0].companions == std::vector { Fingerprint { 8 } });
}

// Guards against requests that neither instance dispatches because each takes the other for the owner.
TEST_CASE("an instance that does not own the domain refuses with NotOwner")
{
    EntryFixture entry;
    auto actions = entry.router->handle(PeerMessage { entry.owner, { domain, makePlace("r9") } }, start);
    auto refusals = sentMessages<Refusal>(actions);
    REQUIRE(refusals.size() == 1);
    REQUIRE(refusals[0].second.code == RefusalCode::NotOwner);
    entry.place(makePlace("r1"));
    entry.fromOwner(Refusal { RequestId("r1"), RefusalCode::NotOwner, {} });
    REQUIRE(sentMessages<Resync>(entry.router->advance(start + 50ms)).size() == 1);
}

// Guards against requests that end twice or never, and against leaked slots, while owners are killed at random times
// and restarted, and messages are lost: 60 s with 100 requests a second, with each of 20 seeds.
TEST_CASE("each request ends exactly once while owners are killed and restarted")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SimulatedCluster cluster(5, seed);
        cluster.messageLoss = 0.002;
        std::map<RequestId, int> endCounts; // how often each request ended; without the requests of killed entries
        std::map<RequestId, InstanceId> entries;
        int granted = 0;
        auto finish = [&](const InstanceId& entry, const RequestId& request, GrantId grant) {
            Progress progress;
            progress.request = request;
            progress.grant = grant;
            progress.domain = DomainId("riga/m" + std::string(1, request.value().back()));
            progress.finished = true;
            cluster.handle(entry, ThreadMessage { 0, progress });
            ++endCounts[request];
        };
        cluster.delivered = [&](const InstanceId& entry, const DispatcherMessage& message) {
            if (const auto* grant = std::get_if<Grant>(&message)) {
                ++granted;
                cluster.after(50ms, [&, entry, generation = cluster.node(entry).generation, it = *grant] {
                    if (cluster.node(entry).generation == generation) {
                        finish(entry, it.request, it.grant);
                    }
                });
            } else {
                ++endCounts[std::get<Refusal>(message).request];
            }
        };
        for (int i = 0; i < 6000; ++i) {
            cluster.after(i * 10ms, [&, i] {
                auto entry = cluster.random()() % 5;
                if (!cluster.isRunning(static_cast<int>(entry))) {
                    return;
                }
                auto place = makePlace(fmt::format("r{}-{}", i, i % 3));
                place.domain = DomainId(fmt::format("riga/m{}", i % 3));
                auto id = SimulatedCluster::idOf(static_cast<int>(entry));
                endCounts[place.request] = 0;
                entries[place.request] = id;
                cluster.handle(id, ThreadMessage { 0, place });
            });
        }
        for (int i = 0; i < 8; ++i) {
            auto id = SimulatedCluster::idOf(static_cast<int>(cluster.random()() % 5));
            cluster.after(i * 7s + 1s, [&, id] {
                cluster.kill(id);
                std::erase_if(endCounts, [&](const auto& it) { return entries[it.first] == id; });
            });
            cluster.after(
                i * 7s + 1s + std::chrono::milliseconds(cluster.random()() % 6000), [&, id] { cluster.restart(id); });
        }
        cluster.run(100s);
        INFO("seed " << seed);
        REQUIRE(granted > 3000);
        auto wrong = std::ranges::count_if(endCounts, [](const auto& it) { return it.second != 1; });
        REQUIRE(wrong == 0);
        for (int i = 0; i < 5; ++i) {
            auto& node = cluster.node(SimulatedCluster::idOf(i));
            REQUIRE(node.router.requestCount() == 0);
            for (const auto& [name, dispatcher] : node.dispatchers) {
                REQUIRE(dispatcher.queue.empty());
                REQUIRE(dispatcher.activeGrants.empty());
            }
        }
    }
}

} // namespace lagoonspoke
