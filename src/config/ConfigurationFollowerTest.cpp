#include "config/ConfigurationFollower.h"

#include <algorithm>

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

// An accepted configuration as the store has it: the head's text and the blobs.
struct Published {
    std::string head;
    ContentDigest digest;
    BlobMap blobs;
};

Published publish(std::uint64_t number, bool valid = true)
{
    Configuration configuration;
    configuration.tiers[Tier { 0 }] = { Tier { 0 }, 0.1, "gold" };
    ClassSpec chat { ClassName("chat"), Tier { static_cast<std::uint8_t>(valid ? 0 : 9) } };
    configuration.classes[chat.name] = chat;
    TeamSpec team;
    team.name = TeamId("blue");
    team.weight = static_cast<double>(number);
    team.classes.push_back(chat.name);
    configuration.teams[team.name] = team;
    Published published;
    ConfigurationHead head;
    head.number = head.ticketNumber = number;
    auto texts = writeShards(configuration);
    for (std::size_t i = 0; i < shardCount; ++i) {
        head.shards[i] = digestContent(texts[i]);
        published.blobs[head.shards[i]] = texts[i];
    }
    published.head = writeHead(head);
    published.digest = digestContent(published.head);
    return published;
}

FollowerPeer peerOf(std::string id, std::string dataCentre, bool reachable = true)
{
    return { InstanceId(std::move(id)), DataCentreId(std::move(dataCentre)), reachable };
}

// One follower on a virtual clock, with the last actions by type.
struct Harness {
    MonotonicTime now { 100s };
    ConfigurationFollower follower;
    std::vector<FollowerAction> actions;

    explicit Harness(std::string id = "a")
        : follower(ConfigurationFollower::Make({ InstanceId(std::move(id)), DataCentreId("dc"), 1 }))
        , actions(follower.advance(now))
    {
    }

    void tell(const FollowerEvent& event) { actions = follower.handle(event, now); }
    void wait(Duration duration)
    {
        for (auto end = now + duration; follower.nextWakeup() <= end;) {
            now = std::max(now, *follower.nextWakeup());
            actions = follower.advance(now);
        }
    }
    template <typename T> std::vector<T> all() const
    {
        std::vector<T> found;
        for (const auto& it : actions) {
            if (const auto* action = std::get_if<T>(&it)) {
                found.push_back(*action);
            }
        }
        return found;
    }
    template <typename T> bool has() const { return !all<T>().empty(); }
    void readHead(const Published& published, std::uint64_t version)
    {
        tell(HeadRead { StoredValue { published.head, version } });
    }
    // Answers every fetch until none is asked for.
    bool deliver(const Published& published)
    {
        bool applied = false;
        for (auto fetches = all<FetchBlob>(); !fetches.empty();) {
            std::vector<FetchBlob> more;
            for (const auto& fetch : fetches) {
                auto content = fetch.digest == published.digest ? published.head : published.blobs.at(fetch.digest);
                tell(BlobReceived { fetch.from, fetch.digest, content });
                applied = applied || has<ApplySnapshot>();
                std::ranges::move(all<FetchBlob>(), std::back_inserter(more));
            }
            fetches = std::move(more);
        }
        return applied;
    }
};

} // namespace

// Guards against a withdrawn key that works again because an older head arrived late.
TEST_CASE("only heads with a higher number take effect")
{
    Harness harness;
    auto newer = publish(5);
    harness.readHead(newer, 9);
    REQUIRE(harness.deliver(newer));
    REQUIRE(harness.follower.number() == 5);
    for (const auto& published : { publish(4), newer }) {
        harness.readHead(published, 10);
        REQUIRE_FALSE(harness.has<FetchBlob>());
        harness.tell(PeerHeadHeard { InstanceId("b"), 4, published.digest });
        REQUIRE_FALSE(harness.has<FetchBlob>());
    }
    REQUIRE(harness.follower.number() == 5);
}

TEST_CASE("a newer head replaces one that is still being fetched")
{
    Harness harness;
    auto older = publish(1);
    harness.readHead(older, 1);
    auto fetches = harness.all<FetchBlob>();
    auto newer = publish(2);
    harness.readHead(newer, 2);
    auto applied = harness.deliver(newer);
    for (const auto& fetch : fetches) {
        harness.tell(BlobReceived { std::nullopt, fetch.digest, older.blobs.at(fetch.digest) });
        applied = applied || harness.has<ApplySnapshot>();
    }
    harness.deliver(newer);
    REQUIRE(harness.follower.number() == 2);
}

// Guards against a damaged or hostile blob in force, and against waiting for a peer that does not have it.
TEST_CASE("blobs come from peers of the data centre that announced the number, then from the store")
{
    Harness harness;
    harness.tell(PeersChanged { { peerOf("b", "dc"), peerOf("c", "dc"), peerOf("d", "dc"), peerOf("x", "far") } });
    auto published = publish(3);
    harness.tell(PeerHeadHeard { InstanceId("d"), 2, ContentDigest("old") });
    harness.tell(PeerHeadHeard { InstanceId("x"), 3, published.digest });
    harness.tell(PeerHeadHeard { InstanceId("b"), 3, published.digest });
    harness.tell(PeerHeadHeard { InstanceId("c"), 3, published.digest });
    harness.readHead(published, 1);
    auto fetches = harness.all<FetchBlob>();
    REQUIRE(fetches.size() == 3);
    auto first = fetches[0];
    REQUIRE((first.from == InstanceId("b") || first.from == InstanceId("c")));

    harness.tell(BlobNotAvailable { first.from, first.digest });
    auto second = harness.all<FetchBlob>().at(0);
    REQUIRE(second.from);
    REQUIRE(second.from != first.from);
    harness.tell(BlobReceived { second.from, first.digest, "damaged" });
    REQUIRE_FALSE(harness.all<FetchBlob>().at(0).from);
    harness.tell(StoreCallFailed { StoreCall::FetchBlob, first.digest });
    REQUIRE(harness.all<FetchBlob>().at(0).from == InstanceId("x"));
    REQUIRE(harness.follower.number() == 0);

    harness.tell(BlobReceived { InstanceId("x"), first.digest, published.blobs.at(first.digest) });
    for (std::size_t i = 1; i < fetches.size(); ++i) {
        harness.tell(BlobReceived { fetches[i].from, fetches[i].digest, published.blobs.at(fetches[i].digest) });
    }
    REQUIRE(harness.has<ApplySnapshot>());
    REQUIRE(harness.all<AnnounceHead>().at(0).head == published.digest);
}

TEST_CASE("a peer that does not answer is passed over after a bound")
{
    Harness harness;
    harness.tell(PeersChanged { { peerOf("b", "dc") } });
    auto published = publish(1);
    harness.tell(PeerHeadHeard { InstanceId("b"), 1, published.digest });
    REQUIRE(harness.all<FetchBlob>().at(0).from == InstanceId("b"));
    harness.wait(ConfigurationFollower::peerBound);
    REQUIRE(harness.has<ReadHead>());
}

// Guards against instances that cannot be replaced during an outage of the store.
TEST_CASE("a fresh instance starts from its peers while the store is down")
{
    Harness harness;
    harness.tell(PeersChanged { { peerOf("b", "far"), peerOf("c", "far") } });
    harness.tell(StoreCallFailed { StoreCall::Watch });
    auto published = publish(7);
    harness.tell(PeerHeadHeard { InstanceId("b"), 7, published.digest });
    REQUIRE(harness.deliver(published));
    REQUIRE(harness.follower.number() == 7);
    REQUIRE(harness.follower.findBlob(published.digest));
}

// Guards against endless fetching of, or a stop of the fleet by, a head that this build cannot read.
TEST_CASE("a head that breaks a reference is reported once and the next one takes effect")
{
    Harness harness;
    auto broken = publish(2, false);
    harness.readHead(broken, 1);
    REQUIRE_FALSE(harness.deliver(broken));
    REQUIRE(harness.all<ReportInvalidHead>().at(0).number == 2);
    harness.readHead(broken, 1);
    REQUIRE(harness.actions.empty());
    auto repaired = publish(3);
    harness.readHead(repaired, 2);
    REQUIRE(harness.deliver(repaired));
}

TEST_CASE("each data centre has two watchers and the others read with jitter")
{
    std::vector<FollowerPeer> everyone;
    everyone.reserve(20);
    for (int i = 0; i < 20; ++i) {
        everyone.push_back(peerOf(fmt::format("i{}", i), i % 2 ? "dc" : "far", i != 3));
    }
    int watchers = 0;
    for (int i = 1; i < 20; i += 2) {
        Harness harness(fmt::format("i{}", i));
        auto peers = everyone;
        peers.erase(peers.begin() + i);
        harness.tell(PeersChanged { peers });
        watchers += i != 3 && harness.follower.isWatcher() ? 1 : 0;
        if (!harness.follower.isWatcher()) {
            REQUIRE(harness.has<ReadHead>());
            harness.tell(HeadRead {});
            auto before = harness.now;
            while (!harness.has<ReadHead>()) {
                harness.now = *harness.follower.nextWakeup();
                harness.actions = harness.follower.advance(harness.now);
            }
            REQUIRE(harness.now - before >= 3500ms);
            REQUIRE(harness.now - before <= 5s);
        }
    }
    REQUIRE(watchers == 2);
}

// Guards against a cut-off instance that goes on serving a withdrawn key.
TEST_CASE("requests with a key are admitted only within 5 s of hearing from the store or a majority")
{
    Harness harness;
    harness.tell(PeersChanged { { peerOf("b", "dc"), peerOf("c", "dc", false), peerOf("d", "far", false) } });
    auto published = publish(1);
    harness.tell(WatchEnded { StoredValue { published.head, 1 } });
    auto admissions = [&] { return harness.all<SetKeyedAdmission>(); };
    REQUIRE_FALSE(harness.has<SetKeyedAdmission>()); // nothing is in force yet
    REQUIRE(harness.deliver(published));
    REQUIRE(admissions().at(0).allowed);

    auto heard = harness.now;
    harness.actions.clear();
    while (!harness.has<SetKeyedAdmission>()) {
        // One of three known peers is no majority, although the probes find the other two dead.
        harness.tell(PeerHeadHeard { InstanceId("b"), 1, published.digest });
        harness.now = *harness.follower.nextWakeup();
        harness.actions = harness.follower.advance(harness.now);
    }
    REQUIRE_FALSE(admissions().at(0).allowed);
    REQUIRE(harness.now - heard > 5s);
    REQUIRE(harness.now - heard <= 5s + 1ms);

    harness.tell(PeerHeadHeard { InstanceId("b"), 1, published.digest });
    harness.tell(PeerHeadHeard { InstanceId("c"), 1, published.digest });
    REQUIRE(admissions().at(0).allowed);
}

// A process that was paused handles an answer long after the store gave it.
TEST_CASE("an answer handled after a pause does not make the instance fresh")
{
    Harness harness;
    auto published = publish(1);
    harness.tell(WatchEnded { StoredValue { published.head, 1 } });
    harness.deliver(published);
    harness.now += 20s;
    harness.tell(WatchEnded {});
    REQUIRE_FALSE(harness.all<SetKeyedAdmission>().at(0).allowed);
}

// Guards against orders of events that no single case thinks of: late heads, hints of wrong numbers, damaged blobs.
TEST_CASE("random orders of heads, hints and blobs never revert a configuration")
{
    std::vector<Published> published;
    for (std::uint64_t number = 1; number <= 6; ++number) {
        published.push_back(publish(number, number != 4));
    }
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        Harness harness;
        harness.tell(PeersChanged { { peerOf("b", "dc"), peerOf("c", "far") } });
        std::vector<FetchBlob> fetches;
        std::uint64_t inForce = 0;
        for (int i = 0; i < 300; ++i) {
            harness.actions.clear();
            // Later heads become known in the course of the run.
            const auto& some = published[random() % std::min<std::size_t>(6, 1 + static_cast<std::size_t>(i) / 40)];
            auto choice = random() % 10;
            if (choice == 0) {
                harness.readHead(some, 1 + random() % 9);
            } else if (choice == 1) {
                harness.tell(PeerHeadHeard { InstanceId(random() % 2 ? "b" : "c"), 1 + random() % 8, some.digest });
            } else if (choice == 2) {
                harness.tell(StoreCallFailed { StoreCall::ReadHead });
            } else if (choice == 3) {
                harness.wait(300ms);
            } else if (!fetches.empty()) {
                auto fetch = fetches.back();
                fetches.pop_back();
                std::string content = "damaged";
                for (const auto& it : published) {
                    auto blob = it.blobs.find(fetch.digest);
                    content = it.digest == fetch.digest && choice > 4 ? it.head : content;
                    content = blob != it.blobs.end() && choice > 4 ? blob->second : content;
                }
                harness.tell(BlobReceived { fetch.from, fetch.digest, content });
            }
            std::ranges::move(harness.all<FetchBlob>(), std::back_inserter(fetches));
            for (const auto& applied : harness.all<ApplySnapshot>()) {
                auto number = applied.snapshot->number();
                REQUIRE(number > inForce);
                REQUIRE(number != 4);
                REQUIRE(applied.snapshot->findTeam(TeamId("blue"))->weight == static_cast<double>(number));
                inForce = number;
            }
        }
        REQUIRE(inForce > 0);
    }
}

namespace {

struct Counts {
    int reads = 0;
    int watches = 0;
};

// Runs idle followers against a store that answers reads at once and watches at their end.
Counts runIdle(int instances, int dataCentres, Duration duration)
{
    std::vector<FollowerPeer> everyone;
    everyone.reserve(static_cast<std::size_t>(instances));
    for (int i = 0; i < instances; ++i) {
        everyone.push_back(peerOf(fmt::format("i{}", i), fmt::format("dc{}", i % dataCentres)));
    }
    Counts counts;
    for (int i = 0; i < instances; ++i) {
        auto follower = ConfigurationFollower::Make({ everyone[static_cast<std::size_t>(i)].id,
            everyone[static_cast<std::size_t>(i)].dataCentre, static_cast<std::uint64_t>(i) });
        auto peers = everyone;
        peers.erase(peers.begin() + i);
        MonotonicTime now { 100s };
        auto end = now + duration;
        auto watchEnd = MonotonicTime::max();
        auto actions = follower.handle(PeersChanged { peers }, now);
        while (now < end) {
            bool read = false;
            for (const auto& action : actions) {
                read = read || std::holds_alternative<ReadHead>(action);
                if (std::holds_alternative<StartWatch>(action)) {
                    ++counts.watches;
                    watchEnd = now + ConfigurationFollower::watchWait;
                }
            }
            if (read) {
                ++counts.reads;
                actions = follower.handle(HeadRead {}, now);
            } else if (auto next = *follower.nextWakeup(); watchEnd <= next) {
                now = watchEnd;
                watchEnd = MonotonicTime::max();
                actions = follower.handle(WatchEnded {}, now);
            } else {
                now = std::max(now, next);
                actions = follower.advance(now);
            }
        }
    }
    return counts;
}

} // namespace

// Every call to the store is billed; guards against polling that grows unnoticed.
TEST_CASE("an idle hour costs a known number of store calls")
{
    // 6 watchers, 1 reader.
    auto small = runIdle(7, 3, 1h);
    CHECK(small.watches == 5400);
    CHECK(small.reads == 843);
    // A twelfth of the hour: 10 watchers, 400 readers.
    auto large = runIdle(410, 5, 5min);
    CHECK(large.watches == 9000 / 12);
    CHECK(large.reads == 58728 / 12);
}

} // namespace lagoonspoke
