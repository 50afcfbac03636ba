#include "entry/ServerPaths.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

using namespace std::chrono_literals;

namespace {

tcp::endpoint peerAt(unsigned short port)
{
    return { asio::ip::make_address("127.0.0.1"), port };
}

struct PathsBed {
    PathsBed() { paths.setPeers({ peerAt(1), peerAt(2), peerAt(3) }); }
    // A connection to the server that fails directly and comes about through the peer.
    void cutOff(const std::string& address, unsigned short peer = 1)
    {
        paths.recordDirect(address, false, now);
        paths.recordTunnel(address, peerAt(peer), TunnelOutcome::Open, now);
    }

    ServerPaths paths { 7 };
    MonotonicTime now { 1h };
};

} // namespace

// Guards against a server that is down being taken for one that this instance is cut off from, and the reverse.
TEST_CASE("a server is cut off only if a peer reaches it")
{
    PathsBed bed;
    bed.paths.recordDirect("a", false, bed.now);
    bed.paths.recordTunnel("a", peerAt(1), TunnelOutcome::ServerUnreachable, bed.now);
    CHECK_FALSE(bed.paths.isCutOff("a"));
    CHECK(bed.paths.isKnownDown("a", bed.now));
    CHECK_FALSE(bed.paths.isKnownDown("a", bed.now + 1s));
    bed.cutOff("b");
    CHECK(bed.paths.isCutOff("b"));
    CHECK_FALSE(bed.paths.isCutOff("c"));
    CHECK_FALSE(bed.paths.isCutOff());
}

// Guards against each server's first request paying for the failed direct attempt.
TEST_CASE("two servers cut off in a row stand for all, until one is reached")
{
    PathsBed bed;
    bed.cutOff("a");
    bed.cutOff("b");
    CHECK(bed.paths.isCutOff("c"));
    CHECK(bed.paths.failuresOfDownServer() > 1);
    bed.paths.recordDirect("a", true, bed.now);
    CHECK_FALSE(bed.paths.isCutOff("a"));
    CHECK(bed.paths.isCutOff("b"));
    CHECK_FALSE(bed.paths.isCutOff("c"));
}

// Guards against servers that stay unused although the instance reaches them again.
TEST_CASE("every cut-off server is tried again in turn")
{
    PathsBed bed;
    bed.cutOff("a");
    bed.cutOff("b");
    auto first = bed.paths.nextRetrial(bed.now);
    auto second = bed.paths.nextRetrial(bed.now);
    REQUIRE((first && second));
    CHECK(*first != *second);
    CHECK(bed.paths.nextRetrial(bed.now) == first);
    // One that is no longer used is not tried for good.
    CHECK_FALSE(bed.paths.nextRetrial(bed.now + 1min));
    CHECK(bed.paths.cutOffCount() == 0);
}

// Guards against connections that wait for peers that are cut off as well.
TEST_CASE("peers that opened a tunnel are tried first, and those that failed last")
{
    PathsBed bed;
    bed.paths.recordTunnel("a", peerAt(2), TunnelOutcome::ServerUnreachable, bed.now);
    bed.paths.recordTunnel("a", peerAt(3), TunnelOutcome::Open, bed.now);
    CHECK(bed.paths.choosePeers(bed.now) == std::vector { peerAt(3), peerAt(1), peerAt(2) });
    auto trial = bed.paths.nextPeerTrial(bed.now);
    REQUIRE(trial);
    CHECK(trial->second == peerAt(1));
}

TEST_CASE("without peers no server counts as cut off")
{
    PathsBed bed;
    bed.cutOff("a");
    bed.cutOff("b");
    bed.paths.setPeers({});
    CHECK_FALSE(bed.paths.isCutOff("a"));
}

} // namespace lagoonspoke
