#include "external/StoreOutages.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

using namespace std::chrono_literals;

namespace {

constexpr Duration shortest = 1200ms;
constexpr MonotonicTime start { 100s };

} // namespace

// Guards against removed items that stay in use after a call that failed for a moment.
TEST_CASE("Calls that fail for a moment are no outage")
{
    StoreOutages outages(shortest);
    outages.noteAnswer(start);
    outages.noteFailure(start + 5s);
    outages.noteAnswer(start + 5100ms);
    CHECK_FALSE(outages.lastEnd());
    // Each of them shorter than an outage, with an answer in between.
    for (auto at = start + 6s; at < start + 12s; at += 1s) {
        outages.noteFailure(at);
        outages.noteAnswer(at + 900ms);
    }
    CHECK_FALSE(outages.lastEnd());
}

// Guards against items that are dropped after an outage in which they lapsed.
TEST_CASE("An outage lasts from the first call without an answer to the next answer")
{
    StoreOutages outages(shortest);
    outages.noteFailure(start);
    outages.noteFailure(start + 1s);
    CHECK(outages.noteAnswer(start + 1200ms) == 1200ms);
    REQUIRE(outages.lastEnd());
    CHECK(*outages.lastEnd() == start + 1200ms);
    CHECK_FALSE(outages.noteAnswer(start + 3s));
    CHECK(*outages.lastEnd() == start + 1200ms);
}

// Guards against a connection that went silent by itself being taken for an outage.
TEST_CASE("A call without an answer is no outage before the last answer to others")
{
    StoreOutages outages(shortest);
    outages.noteAnswer(start + 3s);
    outages.noteFailure(start);
    outages.noteAnswer(start + 3500ms);
    CHECK_FALSE(outages.lastEnd());
}

} // namespace lagoonspoke
