#include "wire/FleetCodec.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

// A load that changes on the way would order the wrong number of backend servers.
TEST_CASE("domain loads survive encoding")
{
    FleetPacket packet;
    packet.loads.push_back(
        { DomainId("r/m"), 12, 3.5, { { BackendServerId("s1"), 4 }, { BackendServerId("s2"), 0 } } });
    auto decoded = decodeFleetPacket(encodeFleetPacket(packet));
    REQUIRE(decoded);
    REQUIRE_FALSE(decoded->isQuery);
    REQUIRE(decoded->loads == packet.loads);
}

TEST_CASE("a truncated fleet packet is an error")
{
    auto bytes = encodeFleetPacket({ true, {} });
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        REQUIRE_FALSE(decodeFleetPacket(std::string_view(bytes).substr(0, n)));
    }
}

} // namespace lagoonspoke
