#include "dispatch/servers/ServerSignals.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

using namespace std::chrono_literals;

namespace {

const MonotonicTime start(1s);
const BackendServer one { BackendServerId("s1"), DataCentreId("a"), TargetName("m"), "127.0.0.1:1" };
const BackendServer two { BackendServerId("s2"), DataCentreId("a"), TargetName("m"), "127.0.0.1:2" };

} // namespace

// Guards against requests to a server before the time that it named, and against a server that is never used again.
TEST_CASE("A pause of a server ends with its time")
{
    ServerSignals signals;
    signals.record(one.id, { false, 4s }, start);
    // A shorter time that another answer names does not end it.
    signals.record(one.id, { false, 500ms }, start + 1s);
    CHECK(signals.refuses(one.id, start));
    CHECK(signals.refuses(one.id, start + 3999ms));
    CHECK_FALSE(signals.refuses(one.id, start + 4s));
    CHECK_FALSE(signals.refuses(two.id, start));
}

// Guards against requests to a server that leaves, once its last pause has ended.
TEST_CASE("A server that said that it leaves is not used again")
{
    ServerSignals signals;
    signals.record(one.id, { true, 0s }, start);
    signals.record(one.id, { false, 1s }, start);
    CHECK(signals.refuses(one.id, start + 1h));
    std::vector<BackendServerId> excluded { two.id };
    signals.addTo(excluded, { &one, &two }, start);
    CHECK(excluded == std::vector { two.id, one.id });
}

// Guards against callers that are refused although a server takes requests, and against a wait that no server named.
TEST_CASE("The wait for any server is the shortest, and there is none while one takes requests")
{
    ServerSignals signals;
    signals.record(one.id, { false, 4s }, start);
    CHECK_FALSE(signals.waitForAny({ &one, &two }, start));
    CHECK_FALSE(signals.waitForAny({}, start));
    signals.record(two.id, { false, 2s }, start);
    CHECK(signals.waitForAny({ &one, &two }, start + 500ms) == 1500ms);
    CHECK_FALSE(signals.waitForAny({ &one, &two }, start + 2s));
}

} // namespace lagoonspoke
