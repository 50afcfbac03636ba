#include "lagoonspoke/config/ConfigurationSnapshot.h"

#include <algorithm>

namespace lagoonspoke {

namespace {

template <typename Map, typename Key> auto findIn(const Map& map, const Key& key) -> const typename Map::mapped_type*
{
    auto it = map.find(key);
    return it == map.end() ? nullptr : &it->second;
}

// Tiers of classes within one tier of a team, and the most of both together: a tier is one byte, and its largest value
// stands for an open floor.
constexpr std::uint8_t tiersOfTeam = 16;
constexpr std::uint8_t lowestOfTeam = 14;

Tier combineTiers(Tier ofTeam, Tier ofClass)
{
    auto team = std::min(ofTeam.level, lowestOfTeam);
    auto within = std::min<std::uint8_t>(ofClass.level, tiersOfTeam - 1);
    return { static_cast<std::uint8_t>(team * tiersOfTeam + within) };
}

bool isPathPrefix(std::string_view prefix, std::string_view path)
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/'
        || path[prefix.size()] == '?';
}

} // namespace

SnapshotPtr ConfigurationSnapshot::Make(Configuration configuration)
{
    return SnapshotPtr(new ConfigurationSnapshot(std::move(configuration)));
}

ConfigurationSnapshot::ConfigurationSnapshot(Configuration configuration)
    : m_configuration(std::move(configuration))
{
    for (const auto& [name, team] : m_configuration.teams) {
        for (const auto& digest : team.keys) {
            m_teamsByKey.emplace(digest, &team);
        }
        m_teamsHaveTiers = m_teamsHaveTiers || team.tier;
    }
    for (const auto& [className, spec] : m_configuration.classes) {
        m_tiers.insert(tierOf(nullptr, spec));
        for (const auto& [name, team] : m_configuration.teams) {
            m_tiers.insert(tierOf(&team, spec));
        }
    }
}

const TeamSpec* ConfigurationSnapshot::findTeamByKey(const KeyDigest& digest) const
{
    auto it = m_teamsByKey.find(digest);
    return it == m_teamsByKey.end() ? nullptr : it->second;
}

const TeamSpec* ConfigurationSnapshot::findTeam(const TeamId& name) const
{
    return findIn(m_configuration.teams, name);
}

const ClassSpec* ConfigurationSnapshot::findClass(const ClassName& name) const
{
    return findIn(m_configuration.classes, name);
}

const DeploymentSpec* ConfigurationSnapshot::findDeployment(const TargetName& name) const
{
    return findIn(m_configuration.deployments, name);
}

Tier ConfigurationSnapshot::tierOf(const TeamSpec* team, const ClassSpec& spec) const
{
    return m_teamsHaveTiers ? combineTiers(team ? team->tier.value_or(spec.tier) : spec.tier, spec.tier) : spec.tier;
}

int ConfigurationSnapshot::rankOf(Tier tier) const
{
    return static_cast<int>(std::distance(m_tiers.begin(), m_tiers.lower_bound(tier)));
}

const RouteSpec* ConfigurationSnapshot::findRoute(std::string_view path, std::string_view host) const
{
    const RouteSpec* best = nullptr;
    for (const auto& [name, route] : m_configuration.routes) {
        bool fits = route.host.empty() || route.host == host;
        if (fits && isPathPrefix(route.pathPrefix, path)
            && (!best || route.pathPrefix.size() > best->pathPrefix.size())) {
            best = &route;
        }
    }
    return best;
}

} // namespace lagoonspoke
