#include "fleet/FleetPlanner.h"

#include <algorithm>
#include <cmath>

namespace lagoonspoke {

namespace {

int divideUp(int value, int divisor)
{
    return (value + divisor - 1) / divisor;
}

} // namespace

FleetPlanner FleetPlanner::Make(Options options)
{
    return FleetPlanner(std::move(options));
}

FleetPlanner::FleetPlanner(Options options)
    : m_options(std::move(options))
{
}

void FleetPlanner::noteSpotMissing(const DataCentreId& dataCentre, MonotonicTime now)
{
    m_spotMissingSince[dataCentre] = now;
}

FleetPlanner::Need FleetPlanner::highestNeed(const FleetDemand& demand, MonotonicTime now)
{
    auto bound = [&](double load) {
        auto servers = static_cast<int>(std::ceil(load * m_options.headroom));
        return std::min(std::max(servers, demand.minServers), std::max(demand.maxServers, demand.minServers));
    };
    m_needs.push_back({ now, bound(demand.load), bound(demand.protectedLoad) });
    while (m_needs.front().time + m_options.shrinkDelay < now) {
        m_needs.pop_front();
    }
    Need highest { now, 0, 0 };
    for (const auto& need : m_needs) {
        highest.servers = std::max(highest.servers, need.servers);
        highest.protectedServers = std::max(highest.protectedServers, need.protectedServers);
    }
    return highest;
}

std::vector<DataCentreId> FleetPlanner::spotDataCentres(const FleetDemand& demand, MonotonicTime now) const
{
    std::vector<DataCentreId> result;
    if (!demand.allowSpot) {
        return result;
    }
    for (const auto& dataCentre : m_options.dataCentres) {
        auto missing = m_spotMissingSince.find(dataCentre);
        if (missing == m_spotMissingSince.end() || missing->second + m_options.spotRetryDelay <= now) {
            result.push_back(dataCentre);
        }
    }
    return result;
}

FleetPlanner::Mix FleetPlanner::chooseMix(const Need& need, int spotDataCentres, int maxServers) const
{
    Mix best { need.servers, 0 };
    if (spotDataCentres == 0) {
        return best;
    }
    auto priceOf = [&](const Mix& mix) { return mix.onDemand + mix.spot * m_options.spotPrice; };
    for (int onDemand = 0; onDemand <= need.servers; ++onDemand) {
        Mix mix { onDemand, need.servers - onDemand };
        // More spot servers than the load needs may be cheaper than the on-demand servers they replace.
        auto isSafe
            = [&] { return onDemand + mix.spot - divideUp(mix.spot, spotDataCentres) >= need.protectedServers; };
        while (!isSafe() && priceOf(mix) < priceOf(best)) {
            ++mix.spot;
        }
        if (isSafe() && onDemand + mix.spot <= maxServers && priceOf(mix) < priceOf(best)) {
            best = mix;
        }
    }
    return best;
}

FleetPlan FleetPlanner::plan(const FleetDemand& demand, MonotonicTime now)
{
    FleetPlan plan;
    for (const auto& dataCentre : m_options.dataCentres) {
        plan[dataCentre] = {};
    }
    if (plan.empty()) {
        return plan;
    }
    auto spots = spotDataCentres(demand, now);
    auto mix = chooseMix(
        highestNeed(demand, now), static_cast<int>(spots.size()), std::max(demand.minServers, demand.maxServers));
    for (int i = 0; i < mix.spot; ++i) {
        ++plan[spots[static_cast<std::size_t>(i) % spots.size()]].spot;
    }
    for (int i = 0; i < mix.onDemand; ++i) {
        ++plan[m_options.dataCentres[static_cast<std::size_t>(i) % m_options.dataCentres.size()]].onDemand;
    }
    return plan;
}

} // namespace lagoonspoke
