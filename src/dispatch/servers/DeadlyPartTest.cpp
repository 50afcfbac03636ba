// Replays prompts of which one shared part crashes each server that begins to answer them, and servers that crash for
// other reasons.
#include <map>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "dispatch/DispatcherFixture.h"

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

constexpr Duration timeToFirstToken = 100ms;
constexpr Duration serviceTime = 1s;
// After the grant; the server dies before its first token arrives.
constexpr Duration timeToCrash = 90ms;
constexpr int servers = 12;
constexpr Fingerprint commonPart { 1 };
constexpr Fingerprint deadlyPart { 2 };
// Crashes after which at most three further requests with the part may reach a server.
constexpr int crashesUntilBound = 5;
constexpr int requestsAfterBound = 3;

// Engines that answer every request in one second, unless a deadly one stops them. Those restart at once.
class DeadlyPartReplay {
public:
    DeadlyPartReplay()
        : m_fixture(servers, 16)
    {
        m_fixture.trainPredictions(100ms);
    }

    DispatcherFixture& fixture() { return m_fixture; }
    // Every request names the common part, then one of its own or the deadly one.
    void place(const std::string& id, Fingerprint part)
    {
        auto place = DispatcherFixture::makePlace(id);
        place.parts = { commonPart, part };
        place.remaining = 8s;
        m_parts[id] = part;
        m_fixture.sendFromEntry(place);
        recordGrants();
    }
    void placeSound()
    {
        auto number = m_sound++;
        place(fmt::format("sound{}", number), Fingerprint { 100 + number % 50 });
    }
    void placeDeadly() { place(fmt::format("deadly{}", m_deadly++), deadlyPart); }
    void advance(Duration time)
    {
        for (Duration passed {}; passed < time; passed += 10ms) {
            m_fixture.advance(10ms);
            for (const auto& [id, run] : std::map(m_running)) {
                auto it = m_running.find(id);
                if (it != m_running.end()) {
                    proceed(id, it->second);
                }
            }
            recordGrants();
        }
    }
    void crash(const std::string& server)
    {
        ++m_crashes;
        std::vector<std::string> ended;
        for (const auto& [id, run] : m_running) {
            if (run.server == server) {
                ended.push_back(id);
            }
        }
        for (const auto& id : ended) {
            m_running.erase(id);
            m_fixture.finish(id, FinishOutcome::ServerDied, 0);
        }
    }

    int soundSent() const { return static_cast<int>(m_sound); }
    int soundAnswered() const { return m_answered; }
    int deadlyGranted() const
    {
        return static_cast<int>(
            std::ranges::count_if(m_fixture.granted, [](const auto& it) { return it.starts_with("deadly"); }));
    }
    int crashes() const { return m_crashes; }
    std::size_t running() const { return m_running.size(); }

private:
    struct Run {
        std::string server;
        MonotonicTime granted;
        bool firstTokenSent = false;
    };

    void recordGrants()
    {
        for (; m_granted < m_fixture.granted.size(); ++m_granted) {
            const auto& id = m_fixture.granted[m_granted];
            m_fixture.start(id);
            m_running[id] = { m_fixture.serverOf(id), m_fixture.now, false };
        }
    }
    void proceed(const std::string& id, Run& run)
    {
        auto age = m_fixture.now - run.granted;
        if (m_parts[id] == deadlyPart && age >= timeToCrash) {
            crash(std::string(run.server));
            return;
        }
        if (age >= timeToFirstToken && !run.firstTokenSent) {
            run.firstTokenSent = true;
            ++m_answered;
            auto progress = m_fixture.makeProgress(id);
            progress.firstByteSeen = true;
            progress.timeToFirstByte = timeToFirstToken;
            m_fixture.sendFromEntry(progress);
        }
        if (age >= serviceTime) {
            m_running.erase(id);
            m_fixture.finish(id);
        }
    }

    DispatcherFixture m_fixture;
    std::map<std::string, Run> m_running;
    std::map<std::string, Fingerprint> m_parts;
    std::size_t m_granted = 0;
    std::uint64_t m_sound = 0;
    int m_deadly = 0;
    int m_answered = 0;
    int m_crashes = 0;
};

} // namespace

// Guards against a prompt part that crashes one server after another in requests of which no two are alike.
TEST_CASE("a prompt part that crashes its servers is quarantined, and the parts beside it are not")
{
    for (auto interval : { 2000ms, 600ms, 130ms }) {
        CAPTURE(interval.count());
        DeadlyPartReplay replay;
        for (Duration time {}; time < 20s; time += 10ms) {
            if (time % 20ms == 0ms) {
                replay.placeSound();
            }
            if (time % interval == 0ms) {
                replay.placeDeadly();
            }
            replay.advance(10ms);
        }
        CHECK(replay.deadlyGranted() <= crashesUntilBound + requestsAfterBound);
        CHECK(replay.fixture().quarantines == std::vector { deadlyPart });
        // Sound requests share the first part and the team with the deadly ones.
        CHECK(replay.soundAnswered() >= replay.soundSent() / 2);
        replay.fixture().refusals.clear();
        replay.placeDeadly();
        REQUIRE(replay.fixture().refusals.size() == 1);
        CHECK(replay.fixture().refusals.begin()->second.code == RefusalCode::Quarantined);
        CHECK(replay.fixture().refusals.begin()->second.retryAfter > Duration(0));
    }
}

// Guards against condemning common parts when many servers fail together, again and again, for another reason.
TEST_CASE("no prompt part is quarantined when half of the servers crash at once, four times")
{
    DeadlyPartReplay replay;
    for (int round = 0; round < 4; ++round) {
        for (int i = 0; i < 100; ++i) {
            replay.placeSound();
            replay.advance(20ms);
        }
        for (int i = 0; i < servers / 2; ++i) {
            replay.crash("s" + std::to_string(i));
        }
    }
    auto answered = replay.soundAnswered();
    for (int i = 0; i < 50; ++i) {
        replay.placeSound();
        replay.advance(20ms);
    }
    replay.advance(2s);
    CHECK(replay.crashes() == 4 * servers / 2);
    CHECK(replay.fixture().quarantines.empty());
    CHECK(replay.soundAnswered() >= answered + 50);
}

// Guards against refusing sound requests for a common part that has only been seen beside a deadly one.
TEST_CASE("a prompt part that only died beside a deadly one is not refused by itself")
{
    DeadlyPartReplay replay;
    for (int i = 0; i < 2; ++i) {
        replay.placeDeadly();
        replay.advance(1s);
    }
    replay.placeDeadly();
    REQUIRE(replay.deadlyGranted() == 2);
    REQUIRE(replay.fixture().refusals.size() == 1);
    replay.placeSound();
    replay.advance(2s);
    CHECK(replay.soundAnswered() == 1);
    // Now the deadly part alone explains the crashes, whatever stands beside it.
    auto place = DispatcherFixture::makePlace("deadly-elsewhere");
    place.parts = { deadlyPart, Fingerprint { 99 } };
    replay.fixture().sendFromEntry(place);
    CHECK(replay.fixture().refusals.at("deadly-elsewhere").code == RefusalCode::Quarantined);
}

// Guards against a quarantine that never ends, and against one that needs a row of crashes to return.
TEST_CASE("a quarantined prompt part is free again, and one more crash renews its quarantine")
{
    DispatchOptions options;
    DeadlyPartReplay replay;
    replay.placeSound();
    for (int i = 0; i < 2; ++i) {
        replay.placeDeadly();
        replay.advance(1s);
        replay.placeSound();
        replay.advance(1s);
    }
    REQUIRE(replay.fixture().quarantines == std::vector { deadlyPart });
    replay.advance(options.shortestQuarantine);
    replay.placeDeadly();
    REQUIRE(replay.deadlyGranted() == 3);
    replay.advance(1s);
    CHECK(replay.fixture().quarantines == std::vector { deadlyPart, deadlyPart });
    replay.placeDeadly();
    CHECK(replay.deadlyGranted() == 3);
}

// Guards against a takeover that takes requests for answered of which nothing is known, and so clears a deadly part.
TEST_CASE("a request that a new dispatcher takes over is evidence until its answer begins")
{
    DispatcherFixture fixture(4, 4);
    Resync resync;
    resync.entry = InstanceId("e1");
    for (int i = 0; i < 2; ++i) {
        auto place = DispatcherFixture::makePlace("held" + std::to_string(i));
        place.parts = { deadlyPart };
        resync.held.push_back(
            { place, GrantId { 5 + static_cast<std::uint64_t>(i) }, BackendServerId("s" + std::to_string(i)), {} });
    }
    fixture.sendFromEntry(resync);
    fixture.advance(1s);
    auto end = [&](int i) {
        Progress progress;
        progress.request = RequestId("held" + std::to_string(i));
        progress.grant = GrantId { 5 + static_cast<std::uint64_t>(i) };
        progress.finished = true;
        progress.outcome = FinishOutcome::ServerDied;
        fixture.sendFromEntry(progress);
    };
    end(0);
    // The other one is on trial, so a third request with the part waits for its outcome.
    auto third = DispatcherFixture::makePlace("third");
    third.parts = { deadlyPart };
    fixture.sendFromEntry(third);
    fixture.advance(1s);
    CHECK_FALSE(fixture.grants.contains("third"));
    end(1);
    CHECK(fixture.grants.contains("third"));
    fixture.finish("third", FinishOutcome::ServerDied);
    CHECK(fixture.quarantines == std::vector { deadlyPart });
}

// Guards against condemning a common part when connections break while their server serves the other requests.
TEST_CASE("no prompt part is quarantined for connections that break by themselves")
{
    auto outcome = GENERATE(FinishOutcome::ServerDied, FinishOutcome::Disconnected);
    DispatcherFixture fixture(1, 16);
    fixture.place("steady");
    fixture.start("steady");
    for (int i = 0; i < 10; ++i) {
        auto progress = fixture.makeProgress("steady");
        progress.firstByteSeen = true;
        progress.outputTokens = Tokens { 10 * (i + 1) };
        fixture.sendFromEntry(progress);
        if (outcome == FinishOutcome::Disconnected && i == 0) {
            fixture.finish("steady");
        }
        auto id = "broken" + std::to_string(i);
        auto place = DispatcherFixture::makePlace(id);
        place.parts = { commonPart };
        fixture.sendFromEntry(place);
        REQUIRE(fixture.grants.contains(id));
        fixture.start(id);
        fixture.advance(20ms);
        fixture.finish(id, outcome, 0);
        fixture.advance(500ms);
    }
    CHECK(fixture.quarantines.empty());
}

// Guards against evidence that is lost because each request of a dead server reports for itself.
TEST_CASE("a second request of the same server confirms its death")
{
    DispatcherFixture fixture(1, 16);
    for (int i = 0; i < 2; ++i) {
        auto beside = "beside" + std::to_string(i);
        fixture.place(beside);
        auto progress = fixture.makeProgress(beside);
        progress.firstByteSeen = true;
        fixture.sendFromEntry(progress);
        auto id = "deadly" + std::to_string(i);
        auto place = DispatcherFixture::makePlace(id);
        place.parts = { deadlyPart };
        fixture.sendFromEntry(place);
        REQUIRE(fixture.grants.contains(id));
        fixture.start(id);
        fixture.advance(90ms);
        fixture.finish(id, FinishOutcome::ServerDied, 0);
        CHECK(fixture.quarantines.empty());
        fixture.finish(beside, FinishOutcome::ServerDied, 0);
        fixture.advance(1s);
    }
    CHECK(fixture.quarantines == std::vector { deadlyPart });
}

// Guards against requests that wait a minute for the outcome of a trial whose entry never used its grant.
TEST_CASE("a trial that never starts does not hold up other requests with the part")
{
    DeadlyPartReplay replay;
    replay.placeDeadly();
    replay.advance(1s);
    auto& fixture = replay.fixture();
    auto place = DispatcherFixture::makePlace("unused");
    place.parts = { deadlyPart };
    fixture.sendFromEntry(place);
    REQUIRE(fixture.grants.contains("unused"));
    place.request = RequestId("next");
    fixture.sendFromEntry(place);
    CHECK_FALSE(fixture.grants.contains("next"));
    fixture.advance(DispatchOptions().grantExpiry + 1s);
    CHECK(fixture.grants.contains("next"));
}

// Guards against a dispatcher that crashes servers again with a part that another dispatcher has quarantined.
TEST_CASE("a quarantined part of another dispatcher is refused, also in waiting requests")
{
    DispatcherFixture fixture(1, 1);
    fixture.place("running");
    auto place = DispatcherFixture::makePlace("waiting");
    place.parts = { commonPart, deadlyPart };
    fixture.sendFromEntry(place);
    fixture.send(QuarantineReceived { deadlyPart, 5s });
    REQUIRE(fixture.refusals.at("waiting").code == RefusalCode::Quarantined);
}

} // namespace lagoonspoke
