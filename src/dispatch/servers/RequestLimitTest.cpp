#include <deque>
#include <set>

#include <catch2/catch.hpp>

#include "dispatch/DispatcherFixture.h"
#include "dispatch/routing/FallbackPlacer.h"

namespace lagoonspoke {

using namespace std::chrono_literals;

namespace {

constexpr double limitPerSecond = 3;

// Counts the requests that each server gets, and the most in any four seconds against one and a half times what its
// limit allows, and five more.
class ArrivalCounter {
public:
    void record(const std::string& server, MonotonicTime now)
    {
        auto& recent = m_recent[server];
        recent.push_back(now);
        while (recent.front() <= now - 4s) {
            recent.pop_front();
        }
        m_most[server] = std::max(m_most[server], recent.size());
        ++m_total[server];
    }
    void clear() { *this = {}; }
    std::size_t most(const std::string& server) const { return m_most.contains(server) ? m_most.at(server) : 0; }
    std::size_t total(const std::string& server) const { return m_total.contains(server) ? m_total.at(server) : 0; }
    static std::size_t bound() { return static_cast<std::size_t>(1.5 * 4 * limitPerSecond + 5); }

private:
    std::map<std::string, std::deque<MonotonicTime>> m_recent;
    std::map<std::string, std::size_t> m_most;
    std::map<std::string, std::size_t> m_total;
};

// Sends requests at a steady rate; each answers after 20 ms and ends after 100 ms. The limited servers name their
// limit.
class LimitedLoad {
public:
    explicit LimitedLoad(int servers)
        : fixture(servers, 2)
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
            takeGrants();
            sendDue();
        }
    }

    DispatcherFixture fixture;
    ArrivalCounter arrivals;
    std::set<std::string> limited;
    bool declines = false; // limited servers decline each request that they get

private:
    void takeGrants()
    {
        for (const auto& id : std::exchange(fixture.granted, {})) {
            arrivals.record(fixture.serverOf(id), fixture.now);
            m_answers.emplace(fixture.now + 20ms, id);
            m_ends.emplace(fixture.now + 100ms, id);
        }
    }
    Progress makeProgress(const std::string& id) const
    {
        auto progress = fixture.makeProgress(id);
        progress.limitSeen = true;
        if (limited.contains(fixture.serverOf(id))) {
            progress.limit = RequestRate { limitPerSecond };
        }
        return progress;
    }
    void sendDue()
    {
        for (; !m_answers.empty() && m_answers.begin()->first <= fixture.now; m_answers.erase(m_answers.begin())) {
            auto progress = makeProgress(m_answers.begin()->second);
            progress.firstByteSeen = true;
            progress.timeToFirstByte = 20ms;
            if (declines && progress.limit) {
                progress.finished = true;
                progress.outcome = FinishOutcome::Declined;
            }
            fixture.sendFromEntry(progress);
        }
        for (; !m_ends.empty() && m_ends.begin()->first <= fixture.now; m_ends.erase(m_ends.begin())) {
            auto progress = makeProgress(m_ends.begin()->second);
            progress.finished = true;
            progress.outputTokens = Tokens { 10 };
            fixture.sendFromEntry(progress);
        }
    }

    double m_due = 0;
    int m_count = 0;
    std::multimap<MonotonicTime, std::string> m_answers;
    std::multimap<MonotonicTime, std::string> m_ends;
};

} // namespace

// Guards against a server that gets far more requests than the limit that it named.
TEST_CASE("a server with a request limit gets no more, and others get the rest")
{
    LimitedLoad load(3);
    load.limited = { "s0", "s1" };
    load.run(1s, 24);
    load.arrivals.clear();
    load.run(20s, 24);
    CHECK(load.arrivals.most("s0") <= ArrivalCounter::bound());
    CHECK(load.arrivals.most("s1") <= ArrivalCounter::bound());
    // The limit is used, and nobody is refused while the third server has room.
    CHECK(load.arrivals.total("s0") >= 50);
    CHECK(load.fixture.refusals.empty());
    load.limited.clear();
    load.run(2s, 50);
    load.arrivals.clear();
    load.run(4s, 50);
    CHECK(load.arrivals.total("s0") > ArrivalCounter::bound());
}

// Guards against limits that are passed by requests that the server declines, and against callers that wait in vain.
TEST_CASE("while every server has a request limit the excess is refused, with a time to come back")
{
    LimitedLoad load(3);
    load.limited = { "s0", "s1", "s2" };
    load.declines = GENERATE(false, true);
    load.run(1s, 30);
    load.arrivals.clear();
    load.run(10s, 30);
    std::size_t total = 0;
    for (const auto& server : load.limited) {
        CHECK(load.arrivals.most(server) <= ArrivalCounter::bound());
        total += load.arrivals.total(server);
    }
    CHECK(total >= 80);
    CHECK(!load.fixture.refusals.empty());
    for (const auto& [id, refusal] : load.fixture.refusals) {
        CHECK(refusal.retryAfter > Duration(0));
    }
}

// Guards against a new dispatcher that sends a limited server a burst before it has heard of the limit.
TEST_CASE("a new dispatcher keeps to the request limits that entries know")
{
    LimitedLoad load(2);
    load.limited = { "s0" };
    Resync resync;
    resync.entry = InstanceId("e1");
    resync.limits
        = { { BackendServerId("s0"), RequestRate { limitPerSecond }, 1s }, { BackendServerId("gone"), {}, 1s } };
    load.fixture.sendFromEntry(resync);
    load.run(10s, 40);
    CHECK(load.arrivals.most("s0") <= ArrivalCounter::bound());
}

// Guards against answers that overtake each other and end a limit that is in force, or bring back one that has ended.
TEST_CASE("only an answer to a later request ends a request limit")
{
    MonotonicTime start { 10s };
    RequestLimit limit;
    CHECK(limit.recordAnswer(RequestRate { 2 }, start, start + 1s));
    CHECK_FALSE(limit.recordAnswer(std::nullopt, start + 500ms, start + 1100ms));
    CHECK(limit.rate() == RequestRate { 2 });
    CHECK(limit.recordAnswer(std::nullopt, start + 1200ms, start + 1300ms));
    CHECK_FALSE(limit.recordReport(RequestRate { 2 }, start + 1s));
    CHECK(limit.recordReport(RequestRate { 2 }, start + 2s));
}

// Guards against instances that each use the whole limit, or all their turns at once, while no dispatcher responds.
TEST_CASE("instances that place requests by themselves keep to a request limit together")
{
    constexpr std::size_t instances = 30;
    std::vector<FallbackPlacer> placers;
    BackendServer server { BackendServerId("s0"), DataCentreId("a"), TargetName("m"), "127.0.0.1:1", 1000 };
    MonotonicTime now { 1000s };
    for (std::size_t i = 0; i < instances; ++i) {
        auto& placer = placers.emplace_back(i * 0x9e3779b97f4a7c15ULL);
        placer.setServers({ server });
        placer.setInstanceCount(instances);
        CHECK(placer.recordAnswer(server.id, RequestRate { limitPerSecond }, now, now));
    }
    ArrivalCounter arrivals;
    auto place = DispatcherFixture::makePlace("r");
    place.domain = DomainId("riga/m");
    for (auto end = now + 30s; now < end; now += 100ms) {
        for (auto& placer : placers) {
            if (placer.choose(place, 0, now)) {
                arrivals.record("s0", now);
            }
        }
    }
    CHECK(arrivals.most("s0") <= ArrivalCounter::bound());
    CHECK(arrivals.total("s0") >= 60);
}

} // namespace lagoonspoke
