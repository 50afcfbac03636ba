#include "lagoonspoke/config/ConfigurationSnapshot.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

namespace {

ClassSpec makeClass(const std::string& name, std::uint8_t tier)
{
    ClassSpec spec;
    spec.name = ClassName(name);
    spec.tier = Tier { tier };
    return spec;
}

SnapshotPtr makeSnapshot(bool teamsHaveTiers)
{
    Configuration configuration;
    for (const auto& spec : { makeClass("chat", 0), makeClass("plan", 2) }) {
        configuration.classes.emplace(spec.name, spec);
    }
    for (std::uint8_t tier = 0; tier < 2; ++tier) {
        TeamSpec team;
        team.name = TeamId("t" + std::to_string(tier));
        if (teamsHaveTiers) {
            team.tier = Tier { tier };
        }
        configuration.teams.emplace(team.name, team);
    }
    return ConfigurationSnapshot::Make(std::move(configuration));
}

Tier tierIn(const ConfigurationSnapshot& snapshot, const std::string& team, const std::string& className)
{
    return snapshot.tierOf(snapshot.findTeam(TeamId(team)), *snapshot.findClass(ClassName(className)));
}

} // namespace

// Guards against chat requests that wait behind all plans of their team's tier: in a burst of plans, they waited until
// their callers left.
TEST_CASE("A team's tier comes first, and the tiers of the classes order its requests")
{
    auto snapshot = makeSnapshot(true);
    CHECK(tierIn(*snapshot, "t0", "chat").isHigherThan(tierIn(*snapshot, "t0", "plan")));
    CHECK(tierIn(*snapshot, "t0", "plan").isHigherThan(tierIn(*snapshot, "t1", "chat")));
    CHECK(tierIn(*snapshot, "t1", "chat").isHigherThan(tierIn(*snapshot, "t1", "plan")));
    CHECK(snapshot->rankOf(tierIn(*snapshot, "t0", "chat")) == 0);
    CHECK(snapshot->rankOf(tierIn(*snapshot, "t1", "plan")) > snapshot->rankOf(tierIn(*snapshot, "t1", "chat")));
}

TEST_CASE("Without tiers of teams, a request has the tier of its class")
{
    auto snapshot = makeSnapshot(false);
    CHECK(tierIn(*snapshot, "t1", "plan") == Tier { 2 });
    CHECK(snapshot->tierOf(nullptr, *snapshot->findClass(ClassName("chat"))) == Tier { 0 });
    CHECK(snapshot->rankOf(Tier { 2 }) == 1);
}

// Guards against a tier that is taken for an open floor, or wraps around to the highest.
TEST_CASE("The lowest tiers of teams and classes stay below all others")
{
    Configuration configuration;
    auto spec = makeClass("batch", 255);
    configuration.classes.emplace(spec.name, spec);
    TeamSpec team;
    team.name = TeamId("last");
    team.tier = Tier { 255 };
    configuration.teams.emplace(team.name, team);
    auto snapshot = ConfigurationSnapshot::Make(std::move(configuration));
    auto tier = tierIn(*snapshot, "last", "batch");
    CHECK(tier.level < 255);
    CHECK(tier.level > 200);
}

} // namespace lagoonspoke
