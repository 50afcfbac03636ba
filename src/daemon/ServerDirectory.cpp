#include "daemon/ServerDirectory.h"

#include <algorithm>

namespace lagoonspoke {

namespace {

constexpr std::string_view leavingPrefix = "leaving/";

} // namespace

std::vector<Rumour> ServerDirectory::setList(std::vector<BackendServer> servers)
{
    std::vector<Rumour> rumours;
    std::set<BackendServerId> listed;
    for (auto& server : servers) {
        listed.insert(server.id);
        if (server.leaving && m_leaving.insert(server.id).second) {
            rumours.push_back({ std::string(leavingPrefix) + server.id.value(), 1, "" });
        }
        // The list lags, so a server that is known to leave does not come back while it is listed.
        server.leaving = m_leaving.contains(server.id);
    }
    for (const auto& server : m_servers) {
        // Instances that cannot read the list must not use a server that is gone.
        if (!listed.contains(server.id) && !m_leaving.contains(server.id)) {
            rumours.push_back({ std::string(leavingPrefix) + server.id.value(), 1, "" });
        }
    }
    std::erase_if(m_leaving, [&](const BackendServerId& id) { return !listed.contains(id); });
    if (servers != m_servers) {
        m_servers = std::move(servers);
        m_changed = true;
    }
    return rumours;
}

bool ServerDirectory::hear(const Rumour& rumour)
{
    if (!rumour.key.starts_with(leavingPrefix)) {
        return false;
    }
    BackendServerId id(rumour.key.substr(leavingPrefix.size()));
    if (!m_leaving.insert(id).second) {
        return false;
    }
    if (auto it = std::ranges::find(m_servers, id, &BackendServer::id); it != m_servers.end()) {
        it->leaving = true;
        m_changed = true;
    }
    return true;
}

bool ServerDirectory::takeChanged()
{
    return std::exchange(m_changed, false);
}

} // namespace lagoonspoke
