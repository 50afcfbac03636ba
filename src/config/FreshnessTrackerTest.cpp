#include "config/FreshnessTracker.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace lagoonspoke {

using namespace std::chrono_literals;

namespace {

std::vector<FollowerPeer> makePeers(int count, int dataCentres)
{
    std::vector<FollowerPeer> peers;
    for (int i = 1; i <= count; ++i) {
        peers.push_back({ InstanceId(fmt::format("i{}", i)), DataCentreId(fmt::format("dc{}", i % dataCentres)) });
    }
    return peers;
}

// Whether an instance of dc0 is fresh after a round that only the peers in the first data centres answer.
bool isFreshWith(int reachableDataCentres, int count, int dataCentres)
{
    FreshnessTracker tracker;
    auto peers = makePeers(count, dataCentres);
    tracker.setPeers(InstanceId("i0"), peers);
    MonotonicTime now { 10s };
    for (const auto& asked : tracker.startRound(now)) {
        auto number = std::stoi(asked.value().substr(1));
        if (number % dataCentres < reachableDataCentres) {
            tracker.notePeer(asked, now + 1ms);
        }
    }
    return tracker.isFresh(now + 2s);
}

} // namespace

// Guards against a cut-off data centre whose instances confirm each other and go on serving a withdrawn key.
TEST_CASE("a minority of data centres is not fresh, a majority is")
{
    REQUIRE_FALSE(isFreshWith(1, 409, 5));
    REQUIRE_FALSE(isFreshWith(2, 409, 5));
    REQUIRE(isFreshWith(3, 409, 5));
    REQUIRE_FALSE(isFreshWith(1, 6, 3));
    REQUIRE(isFreshWith(2, 6, 3));
}

TEST_CASE("an answer of a peer that was not asked is no evidence")
{
    FreshnessTracker tracker;
    tracker.setPeers(InstanceId("i0"), makePeers(1, 1));
    tracker.startRound(MonotonicTime(10s));
    tracker.notePeer(InstanceId("other"), MonotonicTime(10s));
    REQUIRE_FALSE(tracker.isFresh(MonotonicTime(10s)));
    tracker.notePeer(InstanceId("i1"), MonotonicTime(10s));
    REQUIRE(tracker.isFresh(MonotonicTime(15s)));
    REQUIRE_FALSE(tracker.isFresh(MonotonicTime(15s) + 1ns));
}

} // namespace lagoonspoke
