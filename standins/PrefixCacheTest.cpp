#include "standins/PrefixCache.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

// The router learns the cache from these events; a wrong one would make every measurement of cache hits wrong.
TEST_CASE("the least recently used block is evicted and both changes are logged")
{
    PrefixCache cache(2);
    REQUIRE(cache.touch({ 1, 2 }) == 0);
    REQUIRE(cache.touch({ 1 }) == 1);
    REQUIRE(cache.touch({ 3 }) == 0);
    REQUIRE(cache.touch({ 2 }) == 0);
    auto events = cache.eventsAfter(2);
    REQUIRE(events.size() == 4);
    REQUIRE_FALSE(events[0].stored);
    REQUIRE(events[0].block == 2);
    REQUIRE(events[1].stored);
    REQUIRE(events[1].block == 3);
}

TEST_CASE("lost events leave a gap in the sequence")
{
    PrefixCache cache(8);
    cache.touch({ 1 });
    cache.loseEvents(5);
    cache.touch({ 2 });
    auto events = cache.eventsAfter(0);
    REQUIRE(events.size() == 2);
    REQUIRE(events[1].sequence - events[0].sequence == 6);
}

} // namespace lagoonspoke
