#include "membership/Rendezvous.h"

#include <map>

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace lagoonspoke {

namespace {

std::vector<Member> makeMembers(int n)
{
    std::vector<Member> members;
    members.reserve(static_cast<std::size_t>(n));
    for (int i = 0; i < n; ++i) {
        members.push_back({ InstanceId(fmt::format("e{}", i)), DataCentreId("a"), RegionId("riga"), "" });
    }
    return members;
}

} // namespace

// Guards against a membership change that moves domains between remaining members, and against uneven shares.
TEST_CASE("only the domains of a member that leaves move")
{
    auto members = makeMembers(10);
    auto after = members;
    after[3].state = MemberState::Leaving;
    std::map<InstanceId, int> shares;
    for (int i = 0; i < 1000; ++i) {
        DomainId domain(fmt::format("riga/m{}", i));
        auto owner = ownerOf(domain, members);
        REQUIRE(owner);
        ++shares[*owner];
        auto next = ownerOf(domain, after);
        REQUIRE(next != members[3].id);
        REQUIRE((*owner == members[3].id || next == owner));
    }
    for (const auto& [id, share] : shares) {
        REQUIRE(share > 60);
        REQUIRE(share < 140);
    }
}

// Guards against a dispatcher in another region, and against one that is dead.
TEST_CASE("the owner is an eligible member of the domain's region")
{
    auto members = makeMembers(2);
    members[0].region = RegionId("hcm");
    REQUIRE(ownerOf(DomainId("riga/m"), members) == members[1].id);
    members[1].state = MemberState::Suspect;
    REQUIRE(ownerOf(DomainId("riga/m"), members) == members[1].id);
    members[1].state = MemberState::Dead;
    REQUIRE_FALSE(ownerOf(DomainId("riga/m"), members));
}

} // namespace lagoonspoke
