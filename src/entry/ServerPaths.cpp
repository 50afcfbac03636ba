#include "entry/ServerPaths.h"

#include <algorithm>

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

// Requests that break together ask once whether their server is down.
constexpr Duration downRetention = 500ms;
// A peer that opened a tunnel this short a time ago reaches servers.
constexpr Duration workingRetention = 5s;
// Servers that were not used for this time are no longer tried: most have left.
constexpr Duration cutOffRetention = 10s;
// A direct attempt that failed counts for this time as a sign that the server is cut off, once a peer reaches it.
constexpr Duration unreachedRetention = 2s;

} // namespace

bool ServerPaths::works(const Peer& peer, MonotonicTime now)
{
    return peer.openedAt > peer.failedAt && now - peer.openedAt < workingRetention;
}

void ServerPaths::setPeers(std::vector<tcp::endpoint> endpoints)
{
    std::map<tcp::endpoint, Peer> peers;
    for (const auto& endpoint : endpoints) {
        auto it = m_peers.find(endpoint);
        peers[endpoint] = it == m_peers.end() ? Peer() : it->second;
    }
    m_peers = std::move(peers);
}

bool ServerPaths::isCutOff(const std::string& address) const
{
    return hasPeers() && (isCutOff() || m_cutOff.contains(address));
}

bool ServerPaths::isKnownDown(const std::string& address, MonotonicTime now) const
{
    auto it = m_down.find(address);
    return it != m_down.end() && now - it->second < downRetention;
}

std::vector<tcp::endpoint> ServerPaths::choosePeers(MonotonicTime now)
{
    std::vector<tcp::endpoint> peers;
    for (const auto& [endpoint, peer] : m_peers) {
        peers.push_back(endpoint);
    }
    std::ranges::shuffle(peers, m_random);
    auto rank = [&](const tcp::endpoint& endpoint) {
        const auto& peer = m_peers.at(endpoint);
        bool failed = peer.failedAt > peer.openedAt && now - peer.failedAt < workingRetention;
        return works(peer, now) ? 0 : failed ? 2 : 1;
    };
    std::ranges::stable_sort(peers, {}, rank);
    return peers;
}

void ServerPaths::recordDirect(const std::string& address, bool reached, MonotonicTime now)
{
    expire(now);
    if (!reached) {
        m_unreached[address] = now;
        return;
    }
    m_cutOff.erase(address);
    m_unreached.erase(address);
    m_down.erase(address);
    m_cutOffInRow.clear();
}

void ServerPaths::recordTunnel(
    const std::string& address, const tcp::endpoint& endpoint, TunnelOutcome outcome, MonotonicTime now)
{
    auto it = m_peers.find(endpoint);
    if (outcome != TunnelOutcome::Open) {
        if (it != m_peers.end()) {
            it->second.failedAt = now;
        }
        if (outcome == TunnelOutcome::ServerUnreachable) {
            m_down[address] = now;
        }
        return;
    }
    if (it != m_peers.end()) {
        it->second.openedAt = now;
    }
    m_down.erase(address);
    if (auto unreached = m_unreached.find(address);
        unreached != m_unreached.end() && now - unreached->second < unreachedRetention) {
        m_cutOffInRow.insert(address);
    }
    m_cutOff[address].usedAt = now;
}

std::optional<std::string> ServerPaths::nextRetrial(MonotonicTime now)
{
    expire(now);
    if (m_cutOff.empty()) {
        return std::nullopt;
    }
    auto it = std::ranges::min_element(m_cutOff, {}, [](const auto& entry) { return entry.second.triedAt; });
    it->second.triedAt = ++m_retrials;
    return it->first;
}

std::optional<std::pair<std::string, tcp::endpoint>> ServerPaths::nextPeerTrial(MonotonicTime now) const
{
    auto peer = std::ranges::min_element(
        m_peers, {}, [](const auto& entry) { return std::max(entry.second.openedAt, entry.second.failedAt); });
    if (m_cutOff.empty() || peer == m_peers.end() || works(peer->second, now)) {
        return std::nullopt;
    }
    auto server = std::ranges::max_element(m_cutOff, {}, [](const auto& entry) { return entry.second.usedAt; });
    return std::pair(server->first, peer->first);
}

void ServerPaths::expire(MonotonicTime now)
{
    std::erase_if(m_cutOff, [&](const auto& it) { return now - it.second.usedAt > cutOffRetention; });
    std::erase_if(m_down, [&](const auto& it) { return now - it.second > downRetention; });
    std::erase_if(m_unreached, [&](const auto& it) { return now - it.second > unreachedRetention; });
    if (m_cutOff.empty()) {
        m_cutOffInRow.clear();
    }
}

} // namespace lagoonspoke
