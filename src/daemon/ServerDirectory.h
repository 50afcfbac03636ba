#pragma once

#include <deque>
#include <map>
#include <set>
#include <vector>

#include "lagoonspoke/dispatch/BackendServer.h"
#include "lagoonspoke/membership/Member.h"

namespace lagoonspoke {

// The backend servers of the instance list together with what rumours say of leaving ones, as the instance that first
// learns of a leaving server tells the others.
// A server that said itself that it leaves never comes back under its id. That a server is missing from a list is
// weaker: its entry may only have lapsed, or be written again after the store was restored. Such a rumour carries the
// revision of the list that it was concluded from, and a newer list that has the server overrules it.
// Owned by PeerService.
class ServerDirectory {
public:
    // Takes the instance list's servers, as of a revision of the list; 0 where lists have none. Gives a rumour for each
    // server that is newly known to leave or to be missing.
    std::vector<Rumour> setList(std::vector<BackendServer>, std::uint64_t revision);
    // Whether the rumour names a leaving or missing server that was not known as such.
    bool hear(const Rumour&);
    // Whether the servers changed since the last call.
    bool takeChanged();

    const std::vector<BackendServer>& servers() const { return m_servers; }
    // Listed servers that rumours call missing but that are used, as nothing else is left of their targets.
    std::size_t overruled() const { return m_overruled; }

private:
    void markLeaving();
    void dropUnlisted(const std::set<BackendServerId>& listed);

    std::vector<BackendServer> m_servers;
    std::uint64_t m_revision = 0;
    std::set<BackendServerId> m_leaving; // by their own word
    std::deque<BackendServerId> m_departed; // those of m_leaving that are no longer listed, the latest at the back
    std::map<BackendServerId, std::uint64_t> m_missing; // by rumour, with the revision of the list that lacked them
    std::size_t m_overruled = 0;
    bool m_changed = false;
};

} // namespace lagoonspoke
