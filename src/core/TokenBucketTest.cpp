#include "core/TokenBucket.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

// Guards against a limit that forgets a charge known only afterwards, and against a wrong retry-after.
TEST_CASE("a bucket refills at its rate and pays debts back")
{
    MonotonicTime now(std::chrono::seconds(1));
    TokenBucket bucket(10, 10);
    REQUIRE(bucket.has(10, now));
    bucket.take(20, now);
    REQUIRE(!bucket.has(1, now));
    REQUIRE(toSeconds(bucket.timeUntil(1, now)) == Approx(1.1));
    REQUIRE(bucket.has(1, now + std::chrono::milliseconds(1101)));
}

// Guards against a request larger than the burst that could never pass.
TEST_CASE("an amount above the burst needs a full bucket")
{
    TokenBucket bucket(10, 10);
    REQUIRE(bucket.has(100, MonotonicTime(std::chrono::seconds(1))));
}

} // namespace lagoonspoke
