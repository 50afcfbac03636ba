#include "lagoonspoke/core/Digest.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

// Stored digests outlive any build, so a change of algorithm or letter case would lock every caller out.
TEST_CASE("key digests are lower-case SHA-256")
{
    REQUIRE(digestKey("abc").value() == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Instances of different builds must agree on the owner of a domain.
TEST_CASE("the stable hash does not change between builds")
{
    REQUIRE(stableHash("") == 0xef46db3751d8e999ULL);
    REQUIRE(stableHash("a", 1) != stableHash("a", 2));
}

} // namespace lagoonspoke
