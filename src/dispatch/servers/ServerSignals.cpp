#include "dispatch/servers/ServerSignals.h"

#include <algorithm>

namespace lagoonspoke {

namespace {

// A leaving server never comes back under its id, so its signal stays until many others have left.
constexpr std::size_t mostSignals = 4096;
// Time after which callers may ask again where every server leaves; others are listed within seconds.
constexpr Duration leavingRetry = std::chrono::seconds(1);

} // namespace

void ServerSignals::record(const BackendServerId& server, const ServerSignal& signal, MonotonicTime now)
{
    auto [it, created] = m_signals.try_emplace(server);
    it->second.leaves |= signal.leaves;
    it->second.pausedUntil = std::max(it->second.pausedUntil, now + signal.pause);
    if (created) {
        m_order.push_back(server);
    }
    if (m_order.size() > mostSignals) {
        m_signals.erase(m_order.front());
        m_order.pop_front();
    }
}

bool ServerSignals::refuses(const BackendServerId& server, MonotonicTime now) const
{
    auto it = m_signals.find(server);
    return it != m_signals.end() && it->second.refuses(now);
}

bool ServerSignals::leaves(const BackendServerId& server) const
{
    auto it = m_signals.find(server);
    return it != m_signals.end() && it->second.leaves;
}

void ServerSignals::addTo(
    std::vector<BackendServerId>& excluded, const std::vector<const BackendServer*>& servers, MonotonicTime now) const
{
    for (const auto* server : servers) {
        if (refuses(server->id, now) && std::ranges::count(excluded, server->id) == 0) {
            excluded.push_back(server->id);
        }
    }
}

std::optional<Duration> ServerSignals::waitForAny(
    const std::vector<const BackendServer*>& servers, MonotonicTime now) const
{
    std::optional<Duration> wait;
    for (const auto* server : servers) {
        auto it = m_signals.find(server->id);
        if (it == m_signals.end() || !it->second.refuses(now)) {
            return std::nullopt;
        }
        auto own = it->second.leaves ? leavingRetry : it->second.pausedUntil - now;
        wait = std::min(wait.value_or(own), own);
    }
    return wait;
}

} // namespace lagoonspoke
