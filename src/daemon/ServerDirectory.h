#pragma once

#include <set>
#include <vector>

#include "lagoonspoke/dispatch/BackendServer.h"
#include "lagoonspoke/membership/Member.h"

namespace lagoonspoke {

// The backend servers of the instance list together with what rumours say of leaving ones, as the instance that first
// learns of a leaving server tells the others. Owned by PeerService.
class ServerDirectory {
public:
    // Takes the instance list's servers. Gives a rumour for each server that is newly known to leave or to be gone.
    std::vector<Rumour> setList(std::vector<BackendServer>);
    // Whether the rumour names a leaving server that was not known to leave.
    bool hear(const Rumour&);
    // Whether the servers changed since the last call.
    bool takeChanged();

    const std::vector<BackendServer>& servers() const { return m_servers; }

private:
    std::vector<BackendServer> m_servers;
    std::set<BackendServerId> m_leaving;
    bool m_changed = false;
};

} // namespace lagoonspoke
