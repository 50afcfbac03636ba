#include "daemon/CapacityService.h"

#include "observe/LogLine.h"

namespace lagoonspoke {

namespace {

constexpr Duration adjustInterval = std::chrono::milliseconds(500);

} // namespace

CapacityService::CapacityService(
    asio::io_context& io, CapacityPlanner::Options options, CapacityOrdersPtr orders, MayAct mayAct)
    : m_io(io)
    , m_plannerOptions(std::move(options))
    , m_orders(std::move(orders))
    , m_mayAct(std::move(mayAct))
    , m_timer(io)
{
}

void CapacityService::start()
{
    m_timer.expires_after(adjustInterval);
    m_timer.async_wait([this](error_code ec) {
        if (!ec && !m_stopped) {
            adjustAll();
            start();
        }
    });
}

void CapacityService::stop()
{
    m_stopped = true;
    m_timer.cancel();
}

void CapacityService::applySnapshot(SnapshotPtr snapshot)
{
    m_snapshot = std::move(snapshot);
    for (const auto& [name, deployment] : m_snapshot->configuration().deployments) {
        m_planners.try_emplace(name, CapacityPlanner(m_plannerOptions)).first->second.setEvacuated(m_evacuated);
    }
}

void CapacityService::applyDemand(const TargetName& target, double load)
{
    if (auto it = m_planners.find(target); it != m_planners.end()) {
        it->second.setLoad(load);
    }
}

void CapacityService::applyLease(const DataCentreId& dataCentre, std::optional<FencingToken> token)
{
    if (!token) {
        m_orders->closeConnections();
    }
    for (auto& [name, planner] : m_planners) {
        planner.forgetOrders(dataCentre);
    }
}

void CapacityService::applyServers(std::vector<BackendServer> servers, std::set<DataCentreId> evacuated)
{
    m_servers = std::move(servers);
    m_evacuated = std::move(evacuated);
    for (auto& [name, planner] : m_planners) {
        planner.setEvacuated(m_evacuated);
    }
}

void CapacityService::adjustAll()
{
    if (!m_snapshot || !m_servers) {
        return;
    }
    for (const auto& dataCentre : m_plannerOptions.dataCentres) {
        auto token = m_mayAct(dataCentre);
        if (!token) {
            continue;
        }
        for (const auto& [name, deployment] : m_snapshot->configuration().deployments) {
            bool scales = deployment.maxServersPerDataCentre > 0;
            // Orders of one subject go out one after the other.
            if (scales && !m_sending.contains({ name, dataCentre })) {
                adjust(deployment, dataCentre, *token);
            }
        }
    }
}

void CapacityService::adjust(const DeploymentSpec& deployment, const DataCentreId& dataCentre, FencingToken token)
{
    auto orders = m_planners.at(deployment.name).adjust(deployment, dataCentre, *m_servers, readMonotonicClock());
    if (orders.empty()) {
        return;
    }
    m_sending.emplace(deployment.name, dataCentre);
    std::vector<CapacityOrder> calls;
    calls.reserve(orders.size());
    for (const auto& wished : orders) {
        calls.push_back({ deployment.name, dataCentre, wished.cheap, wished.count, token });
    }
    asio::co_spawn(m_io, giveAll(std::move(calls)), asio::detached);
}

asio::awaitable<void> CapacityService::giveAll(std::vector<CapacityOrder> orders)
{
    for (const auto& order : orders) {
        co_await give(order);
    }
    m_sending.erase({ orders.front().target, orders.front().dataCentre });
}

asio::awaitable<void> CapacityService::give(const CapacityOrder& order)
{
    std::function<bool()> holds
        = [this, dataCentre = order.dataCentre, token = order.token] { return m_mayAct(dataCentre) == token; };
    auto outcome = co_await m_orders->order(order, holds);
    if (!outcome) {
        m_planners.at(order.target).recordRefusal(order.dataCentre, order.cheap);
    }
    LogLine(LogLevel::Info, "capacity_ordered")
        .add("target", order.target.value())
        .add("data_centre", order.dataCentre.value())
        .add("cheap", order.cheap)
        .add("wanted", order.wanted)
        .add("load", m_planners.at(order.target).load())
        .add("token", static_cast<std::uint64_t>(order.token))
        .add("outcome", outcome ? "taken" : outcome.error().message);
}

} // namespace lagoonspoke
