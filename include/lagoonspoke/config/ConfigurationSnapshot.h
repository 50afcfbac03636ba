#pragma once

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
    // The route of the host, or of every host, with the longest prefix of the path that ends at a path segment; or
    // null.
    const RouteSpec* findRoute(std::string_view path, std::string_view host = {}) const;

private:
    explicit ConfigurationSnapshot(Configuration);

    Configuration m_configuration;
    absl::flat_hash_map<KeyDigest, const TeamSpec*> m_teamsByKey;
};

using SnapshotPtr = boost::intrusive_ptr<const ConfigurationSnapshot>;

} // namespace lagoonspoke
