#include "daemon/DispatchRumours.h"

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
    second.setList({ server });
    REQUIRE(second.takeChanged());
    server.leaving = true;
    auto rumours = first.setList({ server });
    REQUIRE(rumours.size() == 1);
    REQUIRE(first.setList({ server }).empty());
    REQUIRE(second.hear(rumours[0]));
    REQUIRE(second.takeChanged());
    server.leaving = false;
    second.setList({ server });
    REQUIRE_FALSE(second.takeChanged());
    REQUIRE(second.servers()[0].leaving);
}

} // namespace lagoonspoke
