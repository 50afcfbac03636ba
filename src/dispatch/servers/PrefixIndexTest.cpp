#include "dispatch/servers/PrefixIndex.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

namespace {

PrefixBlock block(std::uint64_t n)
{
    return PrefixBlock { n };
}

} // namespace

// Guards against routing by blocks whose eviction event was lost, and against applying a repeated batch twice.
TEST_CASE("a gap in cache events clears the index and a repeated batch changes nothing")
{
    PrefixIndex index;
    index.startBatch(0);
    index.apply(block(1), true);
    index.apply(block(2), true);
    REQUIRE(index.cachedBlocks({ block(1), block(2), block(3) }) == 2);
    index.startBatch(2);
    index.apply(block(1), false);
    index.startBatch(0);
    index.apply(block(1), true);
    REQUIRE(index.cachedBlocks({ block(1) }) == 0);
    index.startBatch(9);
    index.apply(block(5), true);
    REQUIRE(index.size() == 1);
    REQUIRE(index.cachedBlocks({ block(2) }) == 0);
}

} // namespace lagoonspoke
