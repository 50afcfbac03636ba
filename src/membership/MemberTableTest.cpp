#include "membership/MemberTable.h"

#include <catch2/catch.hpp>

#include "membership/Rendezvous.h"

namespace lagoonspoke {

namespace {

Member makeMember(const std::string& id, std::uint16_t capacity)
{
    Member member { InstanceId(id), DataCentreId("a"), RegionId("r"), "10.0.0.1:1", makeIncarnation(5) };
    member.capacity = capacity;
    return member;
}

} // namespace

// Guards against a small instance that becomes the owner of every domain as soon as it is suspected: a Suspect update
// carries no location and no capacity, and the default capacity is larger than that of any instance here.
TEST_CASE("an update without a location keeps the member's location and capacity")
{
    MemberTable table(makeMember("large", 50));
    REQUIRE(table.merge(makeMember("small", 12)));
    Member update { InstanceId("small"), {}, {}, {}, makeIncarnation(5), MemberState::Suspect };
    REQUIRE(table.merge(update));
    const auto* member = table.find(InstanceId("small"));
    CHECK(member->state == MemberState::Suspect);
    CHECK(member->peerAddress == "10.0.0.1:1");
    CHECK(member->capacity == 12);
    CHECK(ownerOf(DomainId("r/m"), table.members()) == InstanceId("large"));
}

} // namespace lagoonspoke
