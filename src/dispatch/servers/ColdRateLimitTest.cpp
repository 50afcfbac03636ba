#include "dispatch/servers/ColdRateLimit.h"

#include <deque>

#include <catch2/catch.hpp>

#include "dispatch/DispatcherFixture.h"
#include "dispatch/routing/FallbackPlacer.h"

namespace lagoonspoke {

using namespace std::chrono_literals;

namespace {

constexpr ColdTolerance tolerance { 7.7, 16.55 };
constexpr Duration step = 10ms;

// The most requests that one server got in any second.
class SecondCounter {
public:
    void record(const std::string& server, MonotonicTime now)
    {
        auto& recent = m_recent[server];
        recent.push_back(now);
        while (recent.front() <= now - 1s) {
            recent.pop_front();
        }
        m_most = std::max(m_most, recent.size());
        ++m_total;
    }
    std::size_t most() const { return m_most; }
    std::size_t total() const { return m_total; }

private:
    std::map<std::string, std::deque<MonotonicTime>> m_recent;
    std::size_t m_most = 0;
    std::size_t m_total = 0;
};

// A dispatcher of servers with many slots under a steady load; each request ends after 100 ms.
class ColdLoad {
public:
    explicit ColdLoad(int servers, double connectedShare = 1)
        : fixture(servers, 64)
    {
        fixture.trainPredictions(100ms);
        fixture.send(ConnectedShareChanged { connectedShare });
        for (auto& server : fixture.serverList) {
            server.coldTolerance = tolerance;
        }
        fixture.send(ServersChanged { fixture.serverList });
    }

    void makeCold(int servers, Duration time)
    {
        for (int i = 0; i < servers; ++i) {
            fixture.serverList.at(static_cast<std::size_t>(i)).coldUntil = fixture.now + time;
        }
        fixture.send(ServersChanged { fixture.serverList });
    }
    void run(Duration time, double requestsPerSecond, SecondCounter& arrivals)
    {
        for (auto end = fixture.now + time; fixture.now < end;) {
            fixture.advance(step);
            m_due += requestsPerSecond * toSeconds(step);
            for (; m_due >= 1; --m_due) {
                auto place = DispatcherFixture::makePlace("r" + std::to_string(++m_count));
                place.remaining = 2s;
                fixture.sendFromEntry(place);
            }
            for (const auto& id : std::exchange(fixture.granted, {})) {
                arrivals.record(fixture.serverOf(id), fixture.now);
                m_ends.emplace(fixture.now + 100ms, id);
            }
            for (; !m_ends.empty() && m_ends.begin()->first <= fixture.now; m_ends.erase(m_ends.begin())) {
                fixture.finish(m_ends.begin()->second);
            }
        }
    }

    DispatcherFixture fixture;

private:
    double m_due = 0;
    int m_count = 0;
    std::multimap<MonotonicTime, std::string> m_ends;
};

std::vector<BackendServer> listServers(int count)
{
    std::vector<BackendServer> servers;
    for (int i = 0; i < count; ++i) {
        BackendServer server { BackendServerId("s" + std::to_string(i)), DataCentreId("a"), TargetName("m"),
            "127.0.0.1:1", 64 };
        server.coldTolerance = tolerance;
        servers.push_back(std::move(server));
    }
    return servers;
}

// Instances that all place locally, as no dispatcher responds to them.
std::vector<FallbackPlacer> makePlacers(std::size_t count, std::size_t known, const std::vector<BackendServer>& servers)
{
    std::vector<FallbackPlacer> placers;
    for (std::size_t i = 0; i < count; ++i) {
        auto& placer = placers.emplace_back(i * 0x9e3779b97f4a7c15ULL + known);
        placer.setServers(servers);
        placer.setInstanceCount(count);
        placer.setKnownInstanceCount(known);
    }
    return placers;
}

void placeLocally(std::vector<FallbackPlacer>& placers, SecondCounter& arrivals, MonotonicTime now)
{
    auto place = DispatcherFixture::makePlace("r");
    place.domain = DomainId("riga/m");
    for (auto& placer : placers) {
        if (const auto* server = placer.choose(place, 0, now)) {
            arrivals.record(server->id.value(), now);
        }
    }
}

} // namespace

// Guards against a server that becomes cold during a burst, before anyone knows, and crashes under its full load.
TEST_CASE("servers that may become cold at any moment get no more than they tolerate then")
{
    ColdLoad load(3);
    SecondCounter arrivals;
    load.run(5s, 100, arrivals);
    CHECK(static_cast<double>(arrivals.most()) <= tolerance.requestsInOneSecond);
    // The limit is used.
    CHECK(arrivals.total() >= 100);
}

// Guards against the load of a data centre whose servers come back cold during a burst being sent to them at once.
TEST_CASE("while a third of the servers is cold the others take the load")
{
    ColdLoad load(30);
    SecondCounter before;
    load.run(2s, 120, before);
    load.makeCold(10, 3s);
    SecondCounter during;
    load.run(3s, 160, during);
    CHECK(static_cast<double>(during.most()) <= tolerance.requestsInOneSecond);
    CHECK(load.fixture.refusals.empty());
    CHECK(during.total() >= 450);
}

// Guards against known cold servers that get the rate of warm ones.
TEST_CASE("servers that are known to be cold get the rate that they tolerate")
{
    ColdLoad load(4);
    load.makeCold(4, 10s);
    SecondCounter arrivals;
    load.run(8s, 200, arrivals);
    CHECK(static_cast<double>(arrivals.most()) <= tolerance.requestsPerSecond + 2);
    CHECK(static_cast<double>(arrivals.total()) >= 0.9 * 8 * 4 * tolerance.requestsPerSecond);
    SecondCounter warm;
    load.run(4s, 200, warm);
    load.run(2s, 200, warm);
    CHECK(warm.most() > arrivals.most());
}

// Guards against a new dispatcher that adds a burst of its own to what the last one granted a moment before.
TEST_CASE("a dispatcher that takes over adds no burst")
{
    SecondCounter arrivals;
    ColdLoad first(2);
    first.run(2s, 200, arrivals);
    ColdLoad second(2);
    second.fixture.now = first.fixture.now;
    second.run(2s, 200, arrivals);
    CHECK(static_cast<double>(arrivals.most()) <= tolerance.requestsInOneSecond);
}

// Guards against instances that all place requests by themselves, as no dispatcher is left, and exceed the limit
// together.
TEST_CASE("instances without a dispatcher keep to the limit together")
{
    constexpr std::size_t instances = 72;
    auto placers = makePlacers(instances, instances, listServers(3));
    SecondCounter arrivals;
    MonotonicTime now { 1000s };
    for (auto end = now + 20s; now < end; now += 100ms) {
        placeLocally(placers, arrivals, now);
    }
    CHECK(static_cast<double>(arrivals.most()) <= tolerance.requestsInOneSecond);
    CHECK(arrivals.total() >= 200);
}

// Guards against two halves of a partition that each use the whole limit, beside the entries that reach no dispatcher.
TEST_CASE("two dispatchers and the instances that reach neither keep to the limit together")
{
    constexpr int servers = 3;
    constexpr std::size_t known = 72;
    constexpr std::size_t unconnected = 4; // of each half
    ColdLoad first(servers, 0.5);
    ColdLoad second(servers, 0.5);
    second.fixture.now = first.fixture.now;
    auto placers = makePlacers(unconnected, known, listServers(servers));
    auto others = makePlacers(unconnected, known, listServers(servers));
    SecondCounter arrivals;
    for (int i = 0; i < 200; ++i) {
        first.run(50ms, 200, arrivals);
        second.run(50ms, 200, arrivals);
        placeLocally(i % 2 ? placers : others, arrivals, first.fixture.now);
    }
    CHECK(static_cast<double>(arrivals.most()) <= tolerance.requestsInOneSecond);
    // Nine tenths of what both dispatchers may grant in 10 s.
    CHECK(arrivals.total() >= 250);
}

// Guards against rates that change so often that what was earned meanwhile is lost or counted twice.
TEST_CASE("a limit whose rate changes keeps what it earned")
{
    auto server = listServers(1).front();
    MonotonicTime now { 100s };
    ColdRateLimit limit;
    limit.update(server, 1, now);
    CHECK_FALSE(limit.hasRoom(now));
    int granted = 0;
    for (int i = 0; i < 1000; ++i) {
        now += step;
        limit.update(server, i % 2 ? 1 : 0.98, now);
        if (limit.hasRoom(now)) {
            limit.recordGrant(now);
            ++granted;
        }
    }
    CHECK(granted >= 85);
    CHECK(granted <= 95);
    server.coldTolerance.reset();
    limit.update(server, 1, now);
    CHECK_FALSE(limit.rate());
    CHECK(limit.hasRoom(now));
}

} // namespace lagoonspoke
