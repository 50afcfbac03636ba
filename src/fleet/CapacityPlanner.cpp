#include "fleet/CapacityPlanner.h"

#include <algorithm>
#include <cmath>

namespace lagoonspoke {

CapacityPlanner::CapacityPlanner(Options options)
    : m_options(std::move(options))
{
}

FleetPlan CapacityPlanner::plan(const DeploymentSpec& deployment) const
{
    FleetPlan plan;
    auto most = deployment.maxServersPerDataCentre;
    auto least = std::max(1, deployment.minServersPerDataCentre);
    auto total = std::max(least, static_cast<int>(std::ceil(m_options.keptPart * most)));
    auto lasting = std::max(1, static_cast<int>(std::ceil(m_options.lastingPart * total)));
    for (const auto& dataCentre : m_options.dataCentres) {
        plan[dataCentre] = deployment.allowCheap ? FleetCounts { lasting, total - lasting } : FleetCounts { total, 0 };
    }
    return plan;
}

bool CapacityPlanner::isDue(const WishedCount& wished, int present, MonotonicTime now) const
{
    auto it = m_ordered.find({ wished.dataCentre, wished.cheap });
    if (it == m_ordered.end() || it->second.count != wished.count) {
        return true;
    }
    return present < wished.count && now >= it->second.at + m_options.repeatInterval;
}

std::vector<WishedCount> CapacityPlanner::adjust(const DeploymentSpec& deployment, const DataCentreId& dataCentre,
    const std::vector<BackendServer>& servers, MonotonicTime now)
{
    auto counts = plan(deployment)[dataCentre];
    int lasting = 0;
    int cheap = 0;
    for (const auto& server : servers) {
        if (server.target == deployment.name && server.dataCentre == dataCentre && !server.leaving) {
            ++(server.cheap ? cheap : lasting);
        }
    }
    // Lasting servers carry what cheap ones do not: at the start, after an eviction, and while none can be had.
    auto missing = std::max(0, counts.spot - cheap);
    auto most = deployment.maxServersPerDataCentre;
    auto kept = counts.onDemand + missing;
    auto wantedCheap = most > 0 ? std::min(counts.spot, most - kept) : counts.spot;
    std::vector<WishedCount> orders;
    for (const auto& wished :
        { WishedCount { dataCentre, true, std::max(0, wantedCheap) }, WishedCount { dataCentre, false, kept } }) {
        // Without cheap servers in the plan there is nothing to order of that kind.
        bool known = m_ordered.contains({ dataCentre, wished.cheap });
        if ((wished.count > 0 || known) && isDue(wished, wished.cheap ? cheap : lasting, now)) {
            m_ordered[{ dataCentre, wished.cheap }] = { wished.count, now };
            orders.push_back(wished);
        }
    }
    return orders;
}

void CapacityPlanner::forgetOrders(const DataCentreId& dataCentre)
{
    std::erase_if(m_ordered, [&](const auto& it) { return it.first.first == dataCentre; });
}

} // namespace lagoonspoke
