#include "usage/CopyHolders.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

namespace {

CopyHolderCandidate make(std::string name, std::string dataCentre, std::string region)
{
    return { InstanceId(std::move(name)), DataCentreId(std::move(dataCentre)), RegionId(std::move(region)) };
}

} // namespace

TEST_CASE("Copies of usage do not share a data centre with their owner or with each other")
{
    auto self = make("a1", "a", "r");
    auto holders = chooseCopyHolders(self,
        { self, make("a2", "a", "r"), make("b1", "b", "r"), make("b2", "b", "r"), make("c1", "c", "r"),
            make("x1", "x", "far") });
    REQUIRE(holders.size() == 2);
    CHECK((holders[0] == InstanceId("c1")) != (holders[1] == InstanceId("c1")));
    CHECK((holders[0].value().front() == 'b') != (holders[1].value().front() == 'b'));
}

TEST_CASE("A lone data centre still holds copies, on other instances")
{
    auto self = make("a1", "a", "r");
    CHECK(chooseCopyHolders(self, { self, make("a2", "a", "r") }) == std::vector { InstanceId("a2") });
    CHECK(chooseCopyHolders(self, { self }).empty());
}

} // namespace lagoonspoke
