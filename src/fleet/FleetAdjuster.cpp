#include "fleet/FleetAdjuster.h"

#include <algorithm>
#include <utility>

namespace lagoonspoke {

FleetAdjuster FleetAdjuster::Make(Options options)
{
    return FleetAdjuster(options);
}

FleetAdjuster::FleetAdjuster(Options options)
    : m_options(options)
{
}

void FleetAdjuster::forgetGone(const State& state)
{
    std::erase_if(m_draining, [&](const auto& it) {
        return std::none_of(state.servers.begin(), state.servers.end(),
            [&](const BackendServer& server) { return server.id == it.first && !server.leaving; });
    });
}

bool FleetAdjuster::isDrained(const BackendServerId& server, const State& state, MonotonicTime now) const
{
    auto elapsed = now - m_draining.at(server);
    auto busy = state.busy.find(server);
    bool idle = busy == state.busy.end() || busy->second == 0;
    return elapsed >= m_options.drainBound || (idle && elapsed >= m_options.drainLeast);
}

void FleetAdjuster::adjustKind(const TargetName& target, bool spot, int wanted, const State& state, MonotonicTime now)
{
    std::vector<BackendServerId> active;
    std::vector<BackendServerId> draining;
    for (const auto& server : state.servers) {
        if (server.cheap == spot && !server.leaving) {
            (m_draining.contains(server.id) ? draining : active).push_back(server.id);
        }
    }
    auto starting
        = std::count(state.pending.begin(), state.pending.end(), FleetOrderBody(StartServer { target, spot }));
    auto have = static_cast<int>(active.size()) + static_cast<int>(starting);
    for (; have < wanted; ++have) {
        // A server that still drains is back in service sooner than a new one.
        if (!draining.empty()) {
            m_draining.erase(draining.back());
            draining.pop_back();
        } else {
            m_orders.emplace_back(StartServer { target, spot });
        }
    }
    for (; have > wanted && !active.empty(); --have) {
        m_draining.emplace(active.back(), now);
        active.pop_back();
    }
}

std::vector<FleetOrderBody> FleetAdjuster::adjust(
    const TargetName& target, const FleetCounts& counts, const State& state, MonotonicTime now)
{
    forgetGone(state);
    // A server whose stop is ordered does not come back.
    auto current = state;
    std::erase_if(current.servers, [&](const BackendServer& server) {
        FleetOrderBody stop = StopServer { server.id };
        return std::find(state.pending.begin(), state.pending.end(), stop) != state.pending.end();
    });
    adjustKind(target, false, counts.onDemand, current, now);
    adjustKind(target, true, counts.spot, current, now);
    for (const auto& server : current.servers) {
        if (m_draining.contains(server.id) && isDrained(server.id, current, now)) {
            m_orders.emplace_back(StopServer { server.id });
        }
    }
    return std::exchange(m_orders, {});
}

} // namespace lagoonspoke
