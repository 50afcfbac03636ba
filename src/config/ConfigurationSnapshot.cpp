#include "lagoonspoke/config/ConfigurationSnapshot.h"

namespace lagoonspoke {

namespace {

template <typename Map, typename Key> auto findIn(const Map& map, const Key& key) -> const typename Map::mapped_type*
{
    auto it = map.find(key);
    return it == map.end() ? nullptr : &it->second;
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
