#include "dispatch/queue/TierQueue.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

WaitingPtr makeWaiting(const std::string& id, const std::string& team, Duration target, std::int64_t cost = 100)
{
    auto waiting = std::make_unique<WaitingRequest>();
    waiting->place.request = RequestId(id);
    waiting->place.team = TeamId(team);
    waiting->place.className = ClassName("c");
    waiting->target = MonotonicTime(target);
    waiting->deadline = waiting->latestStart = MonotonicTime(60s);
    waiting->cost = cost;
    return waiting;
}

std::string pickId(TierQueue& queue, MonotonicTime now = {})
{
    const auto* picked = queue.pick(now, Duration(0), [](const auto&) { return true; });
    return picked ? picked->place.request.value() : "";
}

} // namespace

// Guards against a team with much traffic occupying every slot of its tier.
TEST_CASE("the team with the smallest counter by weight goes first")
{
    TierQueue queue;
    queue.add(makeWaiting("large", "a", 1s), 1);
    queue.add(makeWaiting("small", "b", 2s), 1);
    queue.charge(TeamId("a"), 1, 1000);
    REQUIRE(pickId(queue) == "small");
    queue.charge(TeamId("b"), 4, 8000);
    REQUIRE(pickId(queue) == "large");
}

// Guards against a team that accumulates share while idle and then keeps the other teams from being served.
TEST_CASE("a newly active team starts at the smallest active counter")
{
    TierQueue queue;
    queue.add(makeWaiting("a1", "a", 1s), 1);
    queue.charge(TeamId("a"), 1, 5000);
    queue.add(makeWaiting("b1", "b", 1s), 1);
    REQUIRE(queue.counter(TeamId("b")) == 5000);
}

// Guards against ignoring latency targets among teams that have used almost the same share.
TEST_CASE("the earliest target goes first among teams less than a request apart")
{
    TierQueue queue;
    queue.add(makeWaiting("later", "a", 5s), 1);
    queue.add(makeWaiting("sooner", "b", 1s), 1);
    queue.charge(TeamId("b"), 1, 50);
    REQUIRE(pickId(queue) == "sooner");
}

// Guards against serving every request of an overloaded team just too late, by starting with those already late.
TEST_CASE("requests that missed their target come after those that can meet it")
{
    TierQueue queue;
    queue.add(makeWaiting("missed", "a", 1s), 1);
    queue.add(makeWaiting("fresh", "a", 9s), 1);
    REQUIRE(pickId(queue, MonotonicTime(2s)) == "fresh");
    REQUIRE(queue.pickVictim()->place.request == RequestId("missed"));
    REQUIRE(queue.remove(RequestId("missed")));
    REQUIRE(queue.remove(RequestId("fresh")));
    REQUIRE(queue.size() == 0);
    REQUIRE(queue.waitingCost() == 0);
}

// Guards against refusing requests of a team that is within its share.
TEST_CASE("the victim is the last request of the team furthest over its share")
{
    TierQueue queue;
    queue.add(makeWaiting("a1", "a", 1s), 1);
    queue.add(makeWaiting("a2", "a", 2s), 1);
    queue.add(makeWaiting("b1", "b", 9s), 1);
    queue.charge(TeamId("a"), 1, 500);
    REQUIRE(queue.pickVictim()->place.request == RequestId("a2"));
}

} // namespace lagoonspoke
