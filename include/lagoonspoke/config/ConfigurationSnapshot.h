#pragma once

#include <set>

#include <absl/container/flat_hash_map.h>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "lagoonspoke/config/Configuration.h"

namespace lagoonspoke {

// An immutable configuration with the look-ups that the request path needs.
// Built on the control thread and shared with the traffic threads by intrusive count.
class ConfigurationSnapshot : public boost::intrusive_ref_counter<ConfigurationSnapshot, boost::thread_safe_counter> {
public:
    static boost::intrusive_ptr<const ConfigurationSnapshot> Make(Configuration);

    std::uint64_t number() const { return m_configuration.number; }
    const Configuration& configuration() const { return m_configuration; }

    // The team that owns the key, or null.
    const TeamSpec* findTeamByKey(const KeyDigest&) const;
    const TeamSpec* findTeam(const TeamId&) const;
    const ClassSpec* findClass(const ClassName&) const;
    const DeploymentSpec* findDeployment(const TargetName&) const;
    // The tier of the team's requests of the class; the team may be null. Where teams have tiers of their own, that of
    // the team comes first, and that of the class orders its requests within it.
    Tier tierOf(const TeamSpec*, const ClassSpec&) const;
    // The number of tiers that come before this one, 0 for the highest.
    int rankOf(Tier) const;
    // The route of the host, or of every host, with the longest prefix of the path that ends at a path segment; or
    // null.
    const RouteSpec* findRoute(std::string_view path, std::string_view host = {}) const;

private:
    explicit ConfigurationSnapshot(Configuration);

    Configuration m_configuration;
    absl::flat_hash_map<KeyDigest, const TeamSpec*> m_teamsByKey;
    bool m_teamsHaveTiers = false;
    std::set<Tier> m_tiers; // that requests can have
};

using SnapshotPtr = boost::intrusive_ptr<const ConfigurationSnapshot>;

} // namespace lagoonspoke
