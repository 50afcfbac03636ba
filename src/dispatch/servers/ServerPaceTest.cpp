#include "dispatch/servers/ServerPace.h"

#include <catch2/catch.hpp>

#include "dispatch/DispatcherFixture.h"
#include <map>
#include <set>

namespace lagoonspoke {

using namespace std::chrono_literals;

namespace {

constexpr int slots = 16;
constexpr Duration soundAnswer = 50ms;

DispatchOptions makeOptions()
{
    DispatchOptions options;
    options.pacesRecoveringServers = true;
    return options;
}

// Servers of 16 slots that answer in 50 ms, or slowly, or die; each request ends 50 ms after its first byte.
class PacedLoad {
public:
    explicit PacedLoad(int servers)
        : fixture(servers, slots, makeOptions())
    {
        fixture.trainPredictions(100ms);
    }

    void run(Duration time, double requestsPerSecond)
    {
        for (auto end = fixture.now + time; fixture.now < end;) {
            fixture.advance(10ms);
            m_due += requestsPerSecond * 0.01;
            for (; m_due >= 1; --m_due) {
                auto place = DispatcherFixture::makePlace("r" + std::to_string(++m_count));
                place.remaining = 2s;
                fixture.sendFromEntry(place);
            }
            for (const auto& id : std::exchange(fixture.granted, {})) {
                const auto& server = fixture.serverOf(id);
                auto now = ++m_running[server];
                most[server] = std::max(most[server], now);
                m_answers.emplace(fixture.now + (slow.contains(server) ? slow.at(server) : soundAnswer), id);
            }
            answer();
        }
    }
    // A server that is added while the others serve.
    void add(const std::string& name, int count = 1)
    {
        for (int i = 0; i < count; ++i) {
            fixture.serverList.push_back({ BackendServerId(name + std::to_string(i)), DataCentreId("a"),
                TargetName("m"), "127.0.0.1:1", slots });
        }
        fixture.send(ServersChanged { fixture.serverList });
    }
    int paced() { return fixture.dispatcher().summarize().pacedServers; }

    DispatcherFixture fixture;
    std::map<std::string, Duration> slow;
    std::set<std::string> dead;
    std::map<std::string, int> most; // requests at the same time, by server

private:
    void answer()
    {
        for (; !m_answers.empty() && m_answers.begin()->first <= fixture.now; m_answers.erase(m_answers.begin())) {
            const auto& id = m_answers.begin()->second;
            auto server = fixture.serverOf(id);
            --m_running[server];
            if (dead.contains(server)) {
                fixture.finish(id, FinishOutcome::ServerDied);
                continue;
            }
            auto progress = fixture.makeProgress(id);
            progress.firstByteSeen = true;
            progress.timeToFirstByte = slow.contains(server) ? slow.at(server) : soundAnswer;
            fixture.sendFromEntry(progress);
            fixture.finish(id);
        }
    }

    double m_due = 0;
    int m_count = 0;
    std::map<std::string, int> m_running;
    std::multimap<MonotonicTime, std::string> m_answers;
};

} // namespace

// Guards against a server that is flooded when it has just started, or stays at a few requests for good.
TEST_CASE("a server that is added gets a few requests first and its full share soon")
{
    PacedLoad load(4);
    load.run(2s, 400);
    load.add("new");
    load.run(40ms, 2000);
    CHECK(load.most["new0"] <= 2);
    // Nearly all slots of all servers are needed.
    load.run(2s, 1500);
    CHECK(load.most["new0"] >= slots / 2);
    CHECK(load.paced() == 0);
}

// Guards against requests that are refused or wait while all servers start at the same time.
TEST_CASE("twenty servers that come at once during a burst serve it")
{
    PacedLoad load(10);
    load.run(2s, 800);
    load.add("new", 20);
    load.run(3s, 3000);
    CHECK(load.fixture.refusals.empty());
    CHECK(load.paced() == 0);
}

// Guards against a server that gets its full share although it answers ten times as slowly as the others.
TEST_CASE("a server that answers slowly for ever stays at a few requests")
{
    PacedLoad load(6);
    load.run(2s, 400);
    load.slow["new0"] = 500ms;
    load.add("new");
    load.run(10s, 500);
    CHECK(load.most["new0"] <= 4);
    CHECK(load.paced() == 1);
    load.slow.clear();
    load.run(4s, 1800);
    CHECK(load.paced() == 0);
}

// Guards against a server that takes many requests with it each time that it comes back.
TEST_CASE("a server that dies at each return loses a few requests at a time")
{
    PacedLoad load(4);
    load.run(1s, 300);
    load.dead.insert("s0");
    load.run(1s, 300);
    load.most.clear();
    load.run(20s, 300);
    CHECK(load.most["s0"] <= 2);
    load.dead.clear();
    load.run(60s, 300);
    CHECK(load.paced() == 0);
}

// Guards against a new dispatcher that takes all servers for started ones and refuses work.
TEST_CASE("a dispatcher that takes over paces no server that it finds")
{
    PacedLoad load(4);
    CHECK(load.paced() == 0);
    load.run(500ms, 1000);
    CHECK(load.fixture.refusals.empty());
}

// Guards against late answers that were under way before that are counted once more for each request.
TEST_CASE("requests that are late together slow the pace once")
{
    ServerPace pace;
    MonotonicTime now { 10s };
    pace.begin(PaceReason::Added, now);
    for (int i = 0; i < 6; ++i) {
        pace.recordAnswer(true, now, now);
    }
    CHECK(pace.usableSlots(slots) == 8);
    pace.recordAnswer(false, now + 1s, now + 2s);
    pace.recordAnswer(false, now + 1s, now + 2s);
    CHECK(pace.usableSlots(slots) == 4);
    pace.recordAnswer(true, now - 1s, now + 2s);
    CHECK(pace.usableSlots(slots) == 4);
    CHECK_FALSE(pace.endIfReached(slots));
    CHECK(pace.endIfReached(4));
    CHECK_FALSE(pace.isPaced());
}

} // namespace lagoonspoke
