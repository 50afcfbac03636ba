#include "dispatch/servers/RejectionGuard.h"

#include <deque>
#include <set>

#include <catch2/catch.hpp>

#include "dispatch/DispatcherFixture.h"
#include "dispatch/routing/FallbackPlacer.h"

namespace lagoonspoke {

using namespace std::chrono_literals;

namespace {

constexpr RequestRate survived { 6 };

// Servers that run fewer requests than they have slots for and reject the others at once; an answer names how many
// rejections a second they survive.
class BrittleLoad {
public:
    explicit BrittleLoad(int servers, int room)
        : fixture(servers, 64)
        , m_room(room)
    {
        fixture.trainPredictions(100ms);
        // Each server has answered since it became brittle.
        for (int i = 0; i < 50; ++i) {
            step(1);
        }
        m_mostRejections = 0;
    }

    // Sends so many requests at once, and goes on for 10 ms.
    void step(int requests)
    {
        for (int i = 0; i < requests; ++i) {
            fixture.sendFromEntry(DispatcherFixture::makePlace("r" + std::to_string(++m_count)));
        }
        for (const auto& id : std::exchange(fixture.granted, {})) {
            m_answers.emplace(fixture.now + 5ms, id);
        }
        fixture.advance(10ms);
        while (!m_answers.empty() && m_answers.begin()->first <= fixture.now) {
            auto id = m_answers.extract(m_answers.begin()).value().second;
            answer(id);
        }
        while (!m_ends.empty() && m_ends.begin()->first <= fixture.now) {
            auto id = m_ends.extract(m_ends.begin()).value().second;
            --m_running[fixture.serverOf(id)];
            fixture.finish(id);
            ++completed;
        }
    }

    std::size_t mostRejections() const { return m_mostRejections; }

    DispatcherFixture fixture;
    int completed = 0;

private:
    void answer(const std::string& id)
    {
        auto server = fixture.serverOf(id);
        auto progress = fixture.makeProgress(id);
        progress.limitSeen = true;
        progress.rejectionLimit = survived;
        if (m_running[server] >= m_room) {
            auto& recent = m_rejections[server];
            recent.push_back(fixture.now);
            while (recent.front() <= fixture.now - 1s) {
                recent.pop_front();
            }
            m_mostRejections = std::max(m_mostRejections, recent.size());
            progress.finished = true;
            progress.outcome = FinishOutcome::Declined;
        } else {
            ++m_running[server];
            progress.firstByteSeen = true;
            m_ends.emplace(fixture.now + 200ms, id);
        }
        fixture.sendFromEntry(progress);
    }

    int m_room;
    int m_count = 0;
    std::set<std::pair<MonotonicTime, std::string>> m_answers;
    std::set<std::pair<MonotonicTime, std::string>> m_ends;
    std::map<std::string, int> m_running;
    std::map<std::string, std::deque<MonotonicTime>> m_rejections;
    std::size_t m_mostRejections = 0;
};

} // namespace

// Guards against brittle servers that fall over because many requests find no room there at once.
TEST_CASE("a burst of requests makes no server reject more than it survives")
{
    BrittleLoad load(3, 8);
    for (int i = 0; i < 500; ++i) {
        load.step(i % 100 == 0 ? 150 : 0);
    }
    CHECK(static_cast<double>(load.mostRejections()) <= survived.perSecond);
    // The servers still do what they have room for.
    CHECK(load.completed > 300);
}

// Guards against a guard that costs sound servers their work.
TEST_CASE("a server with room gets all of a steady load although it is brittle")
{
    BrittleLoad load(3, 64);
    auto before = load.completed;
    for (int i = 0; i < 500; ++i) {
        load.step(1);
    }
    CHECK(load.mostRejections() == 0);
    CHECK(load.completed - before > 470);
}

TEST_CASE("after half of what a server survives nothing is sent until a second has passed")
{
    MonotonicTime now { 1h };
    RejectionGuard guard;
    CHECK(guard.hasRoom(1, now));
    guard.recordAnswer(survived, now, now);
    for (int i = 0; i < 3; ++i) {
        CHECK(guard.hasRoom(1, now));
        guard.recordRejection(now);
    }
    CHECK_FALSE(guard.hasRoom(1, now + 900ms));
    CHECK(guard.hasRoom(1, now + 1100ms));
    guard.recordRejection(now + 1100ms);
    guard.recordAnswer(std::nullopt, now + 1200ms, now + 1200ms);
    CHECK(guard.hasRoom(1, now + 1200ms));
}

// Guards against instances that each place within the number while all of them together do not.
TEST_CASE("instances that place by themselves share the rejections that a server survives")
{
    MonotonicTime now { 1h };
    FallbackPlacer placer(1);
    placer.setServers({ { BackendServerId("s"), DataCentreId("a"), TargetName("m"), "127.0.0.1:1", 64 } });
    placer.setInstanceCount(30);
    auto place = DispatcherFixture::makePlace("r");
    place.domain = DomainId("riga/m");
    placer.recordRejectionLimit(BackendServerId("s"), survived, now, now);
    REQUIRE(placer.choose(place, 0, now));
    CHECK_FALSE(placer.choose(place, 0, now));
    placer.recordRejection(BackendServerId("s"), now);
    CHECK_FALSE(placer.choose(place, 0, now + 5s));
    CHECK(placer.choose(place, 0, now + 11s));
}

// Guards against a server that has not answered yet being flooded while its like are known to be brittle.
TEST_CASE("a new server is taken to be as brittle as the others of its target")
{
    DispatcherFixture fixture(1, 64);
    fixture.place("first");
    auto progress = fixture.makeProgress("first");
    progress.limitSeen = true;
    progress.rejectionLimit = survived;
    fixture.sendFromEntry(progress);
    fixture.finish("first");
    fixture.serverList.push_back({ BackendServerId("new"), DataCentreId("a"), TargetName("m"), "127.0.0.1:1", 64 });
    fixture.send(ServersChanged { fixture.serverList });
    fixture.clearRecords();
    for (int i = 0; i < 100; ++i) {
        fixture.place("r" + std::to_string(i));
    }
    CHECK(fixture.granted.size() == 6);
}

} // namespace lagoonspoke
