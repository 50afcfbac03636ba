#include "lease/LeaseCandidacy.h"

#include <set>

#include <catch2/catch.hpp>

namespace lagoonspoke {

// Two candidates of equal rank would write at the same time and conflict; a wrong order would let a lease
// go to another data centre than the preferred one.
TEST_CASE("Instances of the preferred data centre rank before all others, and no two share a rank")
{
    std::vector<LeaseCandidate> live;
    live.reserve(7);
    for (int i = 0; i < 7; ++i) {
        live.push_back({ InstanceId("i" + std::to_string(i)), DataCentreId(i < 4 ? "riga-a" : "riga-b") });
    }
    std::set<std::size_t> ranks;
    for (const auto& it : live) {
        auto rank = rankCandidate("fleet/riga-b", DataCentreId("riga-b"), it.instance, live);
        REQUIRE(rank);
        CHECK((*rank < 3) == (it.dataCentre.value() == "riga-b"));
        ranks.insert(*rank);
    }
    CHECK(ranks.size() == live.size());
    CHECK_FALSE(rankCandidate("fleet/riga-b", DataCentreId("riga-b"), InstanceId("dead"), live));
}

} // namespace lagoonspoke
