#include "fleet/CapacityPlanner.h"

#include <algorithm>
#include <cmath>

namespace lagoonspoke {

namespace {

// A plan shrinks only when this part of it would do: each change costs prompt parts that the servers have cached.
constexpr double shrinkFraction = 0.85;
// It grows when this multiple of it is wanted, so that a rising load does not cause an order a second.
constexpr double growFraction = 1.1;
// And only after a multiple of the time in which servers that are given back too early could be replaced.
constexpr int shrinkDelayInStartTimes = 2;

// Part of the headroom that is left when the cheap servers of one data centre are evicted. A burst at that moment
// delays lower tiers; to cover it as well would double the price.
constexpr double survivingHeadroomPart = 0.25;

int divideUp(int value, int divisor)
{
    return (value + divisor - 1) / divisor;
}

// The part of a count that falls to one of several data centres; the first ones get one more.
int shareOf(int count, std::size_t index, std::size_t dataCentres)
{
    auto parts = static_cast<int>(dataCentres);
    return count / parts + (static_cast<int>(index) < count % parts ? 1 : 0);
}

} // namespace

CapacityPlanner::CapacityPlanner(Options options)
    : m_options(std::move(options))
    , m_dataCentres(m_options.dataCentres)
{
}

void CapacityPlanner::setEvacuated(const std::set<DataCentreId>& evacuated)
{
    m_dataCentres.clear();
    std::ranges::copy_if(m_options.dataCentres, std::back_inserter(m_dataCentres),
        [&](const DataCentreId& it) { return !evacuated.contains(it); });
    if (m_dataCentres.empty()) {
        m_dataCentres = m_options.dataCentres;
    }
}

int CapacityPlanner::wantedTotal(const DeploymentSpec& deployment) const
{
    auto dataCentres = static_cast<int>(m_dataCentres.size());
    auto partOfMost = [&](double part) {
        return static_cast<int>(std::ceil(part * deployment.maxServersPerDataCentre)) * dataCentres;
    };
    auto least = std::max(1, deployment.minServersPerDataCentre) * dataCentres;
    auto wanted = m_load > 0
        ? std::min(static_cast<int>(std::ceil(m_load * m_options.headroom)), partOfMost(m_options.largestPart))
        : partOfMost(m_options.initialPart);
    return std::max(least, wanted);
}

int CapacityPlanner::survivorsNeeded(int total) const
{
    auto half = divideUp(total, 2);
    if (m_load <= 0) {
        return half;
    }
    // When the load exceeds what may be ordered, no more is kept for an eviction than the data centres' spread gives.
    auto dataCentres = static_cast<int>(m_dataCentres.size());
    auto spread = std::max(half, total - divideUp(total, dataCentres));
    auto needed = m_load * (1 + survivingHeadroomPart * (m_options.headroom - 1));
    return std::min(spread, static_cast<int>(std::ceil(needed)));
}

FleetCounts CapacityPlanner::chooseMix(const DeploymentSpec& deployment, int total) const
{
    auto dataCentres = static_cast<int>(m_dataCentres.size());
    // At least one lasting server in each data centre, as cheap ones may not be had anywhere.
    auto least = std::min(total, std::max(1, deployment.minServersPerDataCentre) * dataCentres);
    auto most = deployment.maxServersPerDataCentre * dataCentres;
    auto priceOf = [&](const FleetCounts& it) { return it.onDemand + it.spot * deployment.cheapPrice; };
    FleetCounts best { total, 0 };
    for (int lasting = least; deployment.allowCheap && lasting < total; ++lasting) {
        FleetCounts mix { lasting, total - lasting };
        // More cheap servers than the load needs may cost less than the lasting ones that they replace.
        auto isSafe
            = [&] { return mix.onDemand + mix.spot - divideUp(mix.spot, dataCentres) >= survivorsNeeded(total); };
        while (!isSafe() && mix.onDemand + mix.spot < most && priceOf(mix) < priceOf(best)) {
            ++mix.spot;
        }
        if (isSafe() && priceOf(mix) < priceOf(best)) {
            best = mix;
        }
    }
    return best;
}

void CapacityPlanner::setTotal(const DeploymentSpec& deployment, int total)
{
    m_total = total;
    m_mix = chooseMix(deployment, total);
}

void CapacityPlanner::followLoad(const DeploymentSpec& deployment, MonotonicTime now)
{
    auto wanted = wantedTotal(deployment);
    Bounds bounds { deployment.minServersPerDataCentre, deployment.maxServersPerDataCentre, deployment.allowCheap,
        m_dataCentres };
    if (wanted > growFraction * m_total || m_bounds != bounds) {
        m_bounds = bounds;
        setTotal(deployment, wanted);
    }
    if (wanted > shrinkFraction * m_total) {
        m_lowSince.reset();
        return;
    }
    if (!m_lowSince) {
        m_lowSince = now;
        m_highestSinceLow = 0;
    }
    m_highestSinceLow = std::max(m_highestSinceLow, wanted);
    if (now >= *m_lowSince + shrinkDelayInStartTimes * deployment.startTime) {
        setTotal(deployment, m_highestSinceLow);
        m_lowSince.reset();
    }
}

FleetPlan CapacityPlanner::plan(const DeploymentSpec& deployment) const
{
    FleetPlan plan;
    auto dataCentres = m_dataCentres;
    if (dataCentres.empty()) {
        return plan;
    }
    auto mix = m_total > 0 ? m_mix : chooseMix(deployment, wantedTotal(deployment));
    // The remainders go to the data centres with the lowest prices.
    auto priceOf = [&](const DataCentreId& it) {
        auto price = deployment.dataCentrePrices.find(it);
        return price == deployment.dataCentrePrices.end() ? 1.0 : price->second;
    };
    std::ranges::stable_sort(dataCentres, {}, priceOf);
    for (std::size_t i = 0; i < dataCentres.size(); ++i) {
        plan[dataCentres[i]] = { shareOf(mix.onDemand, i, dataCentres.size()),
            shareOf(mix.spot, dataCentres.size() - 1 - i, dataCentres.size()) };
    }
    return plan;
}

CapacityPlanner::Present CapacityPlanner::countPresent(
    const DeploymentSpec& deployment, const std::vector<BackendServer>& servers) const
{
    Present present;
    for (const auto& dataCentre : m_dataCentres) {
        present[dataCentre] = {};
    }
    for (const auto& server : servers) {
        auto it = present.find(server.dataCentre);
        if (it != present.end() && server.target == deployment.name && server.isOpen()) {
            ++(server.cheap ? it->second.spot : it->second.onDemand);
        }
    }
    return present;
}

int CapacityPlanner::standIns(
    const FleetPlan& plan, const Present& present, const DataCentreId& dataCentre, int total) const
{
    int ready = 0;
    int missing = 0;
    for (const auto& [id, counts] : present) {
        ready += counts.onDemand + counts.spot;
        missing += std::max(0, plan.at(id).spot - counts.spot);
    }
    int missingHere = std::max(0, plan.at(dataCentre).spot - present.at(dataCentre).spot);
    int shortfall = std::max(0, survivorsNeeded(total) - ready);
    // Those already ordered here and present are part of the ready ones, so they are kept by the caller.
    return missingHere == 0 ? 0 : std::min(missingHere, divideUp(shortfall * missingHere, missing));
}

bool CapacityPlanner::isDue(
    const DeploymentSpec& deployment, const WishedCount& wished, int present, MonotonicTime now) const
{
    auto it = m_ordered.find({ wished.dataCentre, wished.cheap });
    if (it == m_ordered.end() || it->second.count != wished.count) {
        return true;
    }
    auto interval = m_options.repeatInterval + (it->second.refused ? Duration(0) : deployment.startTime);
    return present < wished.count && now >= it->second.at + interval;
}

std::vector<WishedCount> CapacityPlanner::adjust(const DeploymentSpec& deployment, const DataCentreId& dataCentre,
    const std::vector<BackendServer>& servers, MonotonicTime now)
{
    followLoad(deployment, now);
    auto wanted = plan(deployment);
    auto present = countPresent(deployment, servers);
    if (!present.contains(dataCentre)) {
        return {};
    }
    const auto& counts = wanted.at(dataCentre);
    const auto& here = present.at(dataCentre);
    int missing = std::max(0, counts.spot - here.spot);
    // Lasting servers that are there stay until the cheap ones that replace them serve.
    int kept = std::clamp(here.onDemand, counts.onDemand, counts.onDemand + missing);
    auto lasting = std::min(counts.onDemand + missing, kept + standIns(wanted, present, dataCentre, m_total));
    auto most = deployment.maxServersPerDataCentre;
    auto cheap = most > 0 ? std::min(counts.spot, std::max(0, most - lasting)) : counts.spot;
    std::vector<WishedCount> orders;
    for (const auto& wished : { WishedCount { dataCentre, true, cheap }, WishedCount { dataCentre, false, lasting } }) {
        // Without cheap servers in the plan there is nothing to order of that kind.
        bool known = m_ordered.contains({ dataCentre, wished.cheap });
        if ((wished.count > 0 || known) && isDue(deployment, wished, wished.cheap ? here.spot : here.onDemand, now)) {
            m_ordered[{ dataCentre, wished.cheap }] = { wished.count, now };
            orders.push_back(wished);
        }
    }
    return orders;
}

void CapacityPlanner::recordRefusal(const DataCentreId& dataCentre, bool cheap)
{
    if (auto it = m_ordered.find({ dataCentre, cheap }); it != m_ordered.end()) {
        it->second.refused = true;
    }
}

void CapacityPlanner::forgetOrders(const DataCentreId& dataCentre)
{
    std::erase_if(m_ordered, [&](const auto& it) { return it.first.first == dataCentre; });
}

} // namespace lagoonspoke
