#include "membership/Membership.h"

#include <catch2/catch.hpp>

#include "bench/SimulatedNetwork.h"

namespace lagoonspoke {

using namespace std::chrono_literals;

namespace {

SimulatedNetwork makeNetwork(int n, double loss = 0, std::uint64_t seed = 1)
{
    return SimulatedNetwork({ seed, loss, {}, n });
}

// Adds the number of dead members in an instance's table each time that the table changes.
void countDeaths(SimulatedNetwork& network, int& deaths)
{
    network.membersChanged = [&deaths](const InstanceId&, const Membership& membership) {
        deaths += static_cast<int>(std::ranges::count(membership.members(), MemberState::Dead, &Member::state));
    };
}

} // namespace

// Guards against domains that stay assigned to a dead instance.
TEST_CASE("all members detect a dead member within a probe round and a suspicion timeout")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        auto network = makeNetwork(7, 0.1, seed);
        network.stop(3);
        network.run(10s);
        REQUIRE(network.countViews(3, MemberState::Dead) == 6);
    }
}

// Guards against a false death of an instance that was suspended for less than the suspicion timeout.
TEST_CASE("a member that was paused refutes the suspicion")
{
    auto network = makeNetwork(7);
    int deaths = 0;
    countDeaths(network, deaths);
    network.pause(2, 2500ms);
    network.run(2400ms);
    REQUIRE(network.countViews(2, MemberState::Suspect) > 0);
    network.run(5s);
    REQUIRE(network.countViews(2, MemberState::Alive) == 6);
    REQUIRE(deaths == 0);
}

// Guards against an instance that suspects all others after its own suspension, and against one that stays dead.
TEST_CASE("a member that was paused for a minute rejoins and suspects nobody")
{
    auto network = makeNetwork(7);
    network.pause(2, 60s);
    network.run(30s);
    REQUIRE(network.countViews(2, MemberState::Dead) == 6);
    network.run(45s);
    for (int i = 0; i < 7; ++i) {
        REQUIRE(network.countViews(i, MemberState::Alive) == 6);
    }
}

// Guards against false deaths on a lossy network: ten minutes of 20 members at 10 % loss, with each of 3 seeds.
TEST_CASE("nobody is declared dead at 10 % loss")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        auto network = makeNetwork(20, 0.1, seed);
        int deaths = 0;
        countDeaths(network, deaths);
        network.run(10min);
        REQUIRE(deaths == 0);
    }
}

// Guards against attributing grants of an ended process to its successor.
TEST_CASE("a member that restarted replaces its earlier incarnation")
{
    auto network = makeNetwork(5);
    auto before = network.node(1).membership.self().incarnation;
    network.stop(1);
    network.run(1s);
    network.start(1);
    network.tellList();
    network.run(3s);
    auto after = network.node(1).membership.self().incarnation;
    REQUIRE(startOf(after) > startOf(before));
    for (const auto& member : network.node(0).membership.members()) {
        REQUIRE(member.state == MemberState::Alive);
        REQUIRE((member.id != SimulatedNetwork::idOf(1) || member.incarnation == after));
    }
}

// Guards against a machine whose clock was reset: the entries of its new process must not count as outdated.
TEST_CASE("a member with a lower clock than its earlier process takes a higher incarnation")
{
    Membership::Options options;
    options.self = { InstanceId("e1"), {}, RegionId("r"), "a:1", makeIncarnation(5) };
    auto membership = Membership::Make(options);
    Member other { InstanceId("e2"), {}, RegionId("r"), "a:2", makeIncarnation(9) };
    Member earlier { InstanceId("e1"), {}, {}, "", makeIncarnation(80) + 3, MemberState::Dead };
    membership.handle(MembershipReceived { ProbeAck { 1, other, 0, { { earlier }, {} } } }, MonotonicTime(1h));
    REQUIRE(membership.self().incarnation == makeIncarnation(81));
    REQUIRE(membership.self().state == MemberState::Alive);
}

// Guards against halves that stay separate after a partition.
TEST_CASE("the sides of a partition rediscover each other")
{
    auto network = makeNetwork(8);
    for (int i = 0; i < 4; ++i) {
        network.node(i).side = 1;
    }
    network.run(30s);
    REQUIRE(network.countViews(0, MemberState::Dead) == 4);
    for (int i = 0; i < 4; ++i) {
        network.node(i).side = 0;
    }
    network.run(20s);
    for (int i = 0; i < 8; ++i) {
        REQUIRE(network.countViews(i, MemberState::Alive) == 7);
    }
}

// Guards against a partition between regions that makes each declare the other dead, and against gossip that does not
// leave its region.
TEST_CASE("regions exchange gossip and don't declare members of other regions dead")
{
    SimulatedNetwork network({ 3, 0, {}, 0 });
    for (int i = 0; i < 12; ++i) {
        network.start(i, i < 6 ? "riga" : "hcm");
    }
    network.tellList();
    network.run(10s);
    network.stop(8);
    network.run(20s);
    REQUIRE(network.countViews(8, MemberState::Dead) == 11);
    for (int i = 0; i < 6; ++i) {
        network.node(i).side = 1;
    }
    network.run(30s);
    REQUIRE(network.stateSeenBy(0, 7) == MemberState::Alive);
    REQUIRE(network.stateSeenBy(7, 0) == MemberState::Alive);
}

// Guards against new work for an instance that shuts down, and against its exit being taken for a recovery.
TEST_CASE("a leaving member is known to all within 10 ms and stays Leaving until it is dead")
{
    auto network = makeNetwork(7);
    network.leave(4);
    network.run(10ms);
    REQUIRE(network.countViews(4, MemberState::Leaving) == 6);
    network.run(10s);
    REQUIRE(network.countViews(4, MemberState::Leaving) == 6);
    network.stop(4);
    network.run(10s);
    REQUIRE(network.countViews(4, MemberState::Dead) == 6);
}

// Guards against rumours that don't reach an instance or are reported to it more than once.
TEST_CASE("a rumour reaches every member once")
{
    auto network = makeNetwork(50, 0.1);
    network.publish(0, { "config/head", 7, "x" });
    network.run(10s);
    for (const auto& [id, node] : network.nodes()) {
        REQUIRE(node.rumours.size() == (id == SimulatedNetwork::idOf(0) ? 0 : 1));
    }
}

// Guards against an unavailable or outdated instance list that removes members that acknowledge probes.
TEST_CASE("a member that acknowledges probes stays when it is not listed")
{
    auto network = makeNetwork(5);
    network.tellList({ SimulatedNetwork::idOf(1) });
    network.run(10s);
    REQUIRE(network.countViews(1, MemberState::Alive) == 4);
}

} // namespace lagoonspoke
