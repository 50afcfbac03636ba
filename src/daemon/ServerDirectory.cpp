#include "daemon/ServerDirectory.h"

#include <algorithm>

namespace lagoonspoke {

namespace {

constexpr std::string_view leavingPrefix = "leaving/";
constexpr std::string_view missingPrefix = "missing/";
// An older list, as of a restored store, may name a server that has left.
constexpr std::size_t mostDeparted = 1024;

Rumour makeRumour(std::string_view prefix, const BackendServerId& server, std::uint64_t version)
{
    return { std::string(prefix) + server.value(), version, "" };
}

} // namespace

std::vector<Rumour> ServerDirectory::setList(std::vector<BackendServer> servers, std::uint64_t revision)
{
    std::vector<Rumour> rumours;
    std::set<BackendServerId> listed;
    for (const auto& server : servers) {
        listed.insert(server.id);
        if (server.leaving && m_leaving.insert(server.id).second) {
            rumours.push_back(makeRumour(leavingPrefix, server.id, 1));
        }
        if (auto it = m_missing.find(server.id);
            it != m_missing.end() && !server.lapsed && (revision == 0 || revision > it->second)) {
            m_missing.erase(it);
        }
    }
    for (const auto& server : m_servers) {
        // Instances that cannot read the list must not use a server that is gone.
        if (!listed.contains(server.id) && !m_leaving.contains(server.id) && !m_missing.contains(server.id)) {
            rumours.push_back(makeRumour(missingPrefix, server.id, revision));
        }
    }
    dropUnlisted(listed);
    m_revision = revision;
    auto before = std::exchange(m_servers, std::move(servers));
    markLeaving();
    m_changed = m_changed || before != m_servers;
    return rumours;
}

void ServerDirectory::dropUnlisted(const std::set<BackendServerId>& listed)
{
    std::erase_if(m_missing, [&](const auto& it) { return !listed.contains(it.first); });
    for (const auto& id : m_leaving) {
        if (!listed.contains(id) && !std::ranges::count(m_departed, id)) {
            m_departed.push_back(id);
        }
    }
    std::erase_if(m_departed, [&](const BackendServerId& id) { return listed.contains(id); });
    for (; m_departed.size() > mostDeparted; m_departed.pop_front()) {
        m_leaving.erase(m_departed.front());
    }
}

void ServerDirectory::markLeaving()
{
    std::set<TargetName> served;
    for (auto& server : m_servers) {
        // The list lags, so a server that is known to leave does not come back while it is listed.
        server.leaving = m_leaving.contains(server.id) || m_missing.contains(server.id);
        if (!server.leaving) {
            served.insert(server.target);
        }
    }
    // A target without any server left serves nobody, so there a rumour does not outweigh the list.
    m_overruled = 0;
    for (auto& server : m_servers) {
        if (!served.contains(server.target) && !m_leaving.contains(server.id)) {
            server.leaving = false;
            ++m_overruled;
        }
    }
}

bool ServerDirectory::hear(const Rumour& rumour)
{
    if (rumour.key.starts_with(leavingPrefix)) {
        if (!m_leaving.insert(BackendServerId(rumour.key.substr(leavingPrefix.size()))).second) {
            return false;
        }
    } else if (rumour.key.starts_with(missingPrefix)) {
        BackendServerId id(rumour.key.substr(missingPrefix.size()));
        auto known = std::ranges::find(m_servers, id, &BackendServer::id);
        bool isOutdated = known != m_servers.end() && !known->lapsed && m_revision > rumour.version;
        auto [it, isNew] = m_missing.try_emplace(id, rumour.version);
        if (isOutdated || (!isNew && it->second >= rumour.version)) {
            if (isNew) {
                m_missing.erase(it);
            }
            return false;
        }
        it->second = rumour.version;
        if (!isNew) {
            return false;
        }
    } else {
        return false;
    }
    auto before = m_servers;
    markLeaving();
    m_changed = m_changed || before != m_servers;
    return true;
}

bool ServerDirectory::takeChanged()
{
    return std::exchange(m_changed, false);
}

} // namespace lagoonspoke
