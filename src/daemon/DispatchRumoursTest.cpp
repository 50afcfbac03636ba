#include "daemon/DispatchRumours.h"

#include <algorithm>

#include <catch2/catch.hpp>

#include "daemon/ServerDirectory.h"

namespace lagoonspoke {

using namespace std::chrono_literals;

// Guards against a domain and an instance that are split at the wrong place, and against floors that outlive their
// time.
TEST_CASE("an admission floor survives the way through a rumour")
{
    auto rumour = makeFloorRumour(DomainId("riga/m/7"), InstanceId("e1"), { 4 }, MonotonicTime(9s));
    auto heard = readFloorRumour(rumour);
    REQUIRE(heard);
    REQUIRE(heard->domain == DomainId("riga/m/7"));
    REQUIRE(heard->floor.from == InstanceId("e1"));
    REQUIRE(heard->floor.floor.level == 4);
    rumour.age = 4s;
    REQUIRE_FALSE(readFloorRumour(rumour));
    REQUIRE_FALSE(readFloorRumour({ "floor/", 1, "4" }));
}

// Guards against a quarantine that starts again wherever it is heard.
TEST_CASE("a quarantine's remaining time shrinks on the way")
{
    auto rumour = makeQuarantineRumour(
        { Fingerprint(0xfedcba9876543210), 10min, { Fingerprint(7), Fingerprint(8) } }, MonotonicTime(9s));
    rumour.age = 4min;
    auto heard = readQuarantineRumour(rumour);
    REQUIRE(heard);
    REQUIRE(heard->fingerprint == Fingerprint(0xfedcba9876543210));
    REQUIRE(heard->remaining == 6min);
    REQUIRE(heard->companions == std::vector { Fingerprint(7), Fingerprint(8) });
    rumour.age = 10min;
    REQUIRE_FALSE(readQuarantineRumour(rumour));
    REQUIRE_FALSE(readQuarantineRumour({ "quarantine/xyz", 1, "5" }));
    REQUIRE_FALSE(readQuarantineRumour({ "quarantine/ab", 1, "5,xyz" }));
    REQUIRE_FALSE(readQuarantineRumour({ "quarantine/ab", 1, "" }));
}

// Guards against new work for a server that another instance knows to leave, while this one's list is older.
TEST_CASE("a rumour of a leaving server outruns the instance list")
{
    ServerDirectory first;
    ServerDirectory second;
    BackendServer server { BackendServerId("s1"), DataCentreId("a"), TargetName("m"), "127.0.0.1:1", 8 };
    second.setList({ server }, 5);
    REQUIRE(second.takeChanged());
    server.leaving = true;
    auto rumours = first.setList({ server }, 6);
    REQUIRE(rumours.size() == 1);
    REQUIRE(first.setList({ server }, 6).empty());
    REQUIRE(second.hear(rumours[0]));
    REQUIRE(second.takeChanged());
    server.leaving = false;
    second.setList({ server }, 5);
    REQUIRE_FALSE(second.takeChanged());
    REQUIRE(second.servers()[0].leaving);
}

// Guards against servers that every instance holds as gone for good, because their entries lapsed in an outage of the
// store and one instance passed that on.
TEST_CASE("a server whose entry comes back is used again, whatever rumours said of its absence")
{
    ServerDirectory reader;
    ServerDirectory other;
    ServerDirectory starting;
    BackendServer back { BackendServerId("s1"), DataCentreId("a"), TargetName("m"), "127.0.0.1:1", 8 };
    BackendServer gone { BackendServerId("s2"), DataCentreId("a"), TargetName("m"), "127.0.0.1:2", 8 };
    BackendServer stays { BackendServerId("s3"), DataCentreId("a"), TargetName("m"), "127.0.0.1:3", 8 };
    reader.setList({ back, gone, stays }, 5);
    other.setList({ back, gone, stays }, 5);
    auto rumours = reader.setList({ stays }, 7);
    REQUIRE(rumours.size() == 2);
    for (const auto& rumour : rumours) {
        REQUIRE(other.hear(rumour));
    }
    CHECK(other.servers()[0].leaving);
    CHECK(other.servers()[1].leaving);
    auto inUse = [](const ServerDirectory& directory) {
        return std::ranges::count_if(directory.servers(), [](const auto& it) { return !it.leaving; });
    };
    // The entry is there again, with the same id.
    other.setList({ back, stays }, 9);
    reader.setList({ back, stays }, 9);
    CHECK(inUse(other) == 2);
    CHECK(inUse(reader) == 2);
    // An instance that starts hears the old rumour after its first list.
    starting.setList({ back, stays }, 9);
    for (const auto& rumour : rumours) {
        starting.hear(rumour);
    }
    CHECK(inUse(starting) == 2);
    // Or before it.
    ServerDirectory late;
    for (const auto& rumour : rumours) {
        late.hear(rumour);
    }
    late.setList({ back, gone, stays }, 6);
    CHECK(inUse(late) == 1);
    late.setList({ back, stays }, 9);
    CHECK(inUse(late) == 2);
}

// Guards against requests to a server that has left, on an instance whose list only keeps it for a moment.
TEST_CASE("a list that keeps a lapsed server does not overrule a rumour that it is missing")
{
    ServerDirectory directory;
    BackendServer lapsed { BackendServerId("s1"), DataCentreId("a"), TargetName("m"), "127.0.0.1:1", 8 };
    lapsed.lapsed = true;
    BackendServer stays { BackendServerId("s2"), DataCentreId("a"), TargetName("m"), "127.0.0.1:2", 8 };
    bool rumourFirst = GENERATE(true, false);
    if (rumourFirst) {
        directory.hear({ "missing/s1", 7, "" });
    }
    directory.setList({ lapsed, stays }, 9);
    if (!rumourFirst) {
        CHECK_FALSE(directory.servers()[0].leaving);
        directory.hear({ "missing/s1", 7, "" });
    }
    CHECK(directory.servers()[0].leaving);
    lapsed.lapsed = false;
    directory.setList({ lapsed, stays }, 10);
    CHECK_FALSE(directory.servers()[0].leaving);
}

// Guards against a target that is refused as a whole while its servers are listed.
TEST_CASE("rumours of absence do not take the last servers of a target")
{
    ServerDirectory directory;
    BackendServer missing { BackendServerId("s1"), DataCentreId("a"), TargetName("m"), "127.0.0.1:1", 8 };
    BackendServer leaving { BackendServerId("s2"), DataCentreId("a"), TargetName("m"), "127.0.0.1:2", 8 };
    BackendServer elsewhere { BackendServerId("s3"), DataCentreId("a"), TargetName("n"), "127.0.0.1:3", 8 };
    directory.setList({ missing, leaving, elsewhere }, 5);
    directory.hear({ "leaving/s2", 1, "" });
    directory.hear({ "missing/s1", 7, "" });
    CHECK_FALSE(directory.servers()[0].leaving);
    CHECK(directory.servers()[1].leaving);
    CHECK(directory.overruled() == 1);
}

// Guards against a server that has left and comes back with an older list, as of a restored store.
TEST_CASE("a server that said that it leaves does not come back after it was gone from the list")
{
    ServerDirectory directory;
    BackendServer left { BackendServerId("s1"), DataCentreId("a"), TargetName("m"), "127.0.0.1:1", 8 };
    BackendServer stays { BackendServerId("s2"), DataCentreId("a"), TargetName("m"), "127.0.0.1:2", 8 };
    directory.setList({ left, stays }, 5);
    left.leaving = true;
    directory.setList({ left, stays }, 6);
    directory.setList({ stays }, 7);
    left.leaving = false;
    directory.setList({ left, stays }, 9);
    CHECK(directory.servers()[0].leaving);
}

} // namespace lagoonspoke
