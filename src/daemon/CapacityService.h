#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "external/CapacityOrders.h"
#include "fleet/CapacityPlanner.h"
#include "lagoonspoke/config/ConfigurationSnapshot.h"

namespace lagoonspoke {

// Orders wished numbers of backend servers for the data centres whose leases this instance holds. An order names the
// whole number, so it can be repeated and needs no record. Owned by StoreServices; used on the control thread only.
class CapacityService {
public:
    // Whether an order under the lease of the data centre may be written now, and with which token.
    using MayAct = std::function<std::optional<FencingToken>(const DataCentreId&)>;

    // The options are those of each deployment's planner.
    CapacityService(asio::io_context&, CapacityPlanner::Options, CapacityOrdersPtr, MayAct);

    void start();
    void stop();
    void applySnapshot(SnapshotPtr);
    // The backend servers that the target's load keeps busy, over all data centres; 0 when unknown.
    void applyDemand(const TargetName&, double load);
    // The lease of the data centre was gained, or lost when there is no token.
    void applyLease(const DataCentreId&, std::optional<FencingToken>);
    // The whole list of backend servers, and the data centres that get no requests.
    void applyServers(std::vector<BackendServer>, std::set<DataCentreId> evacuated);

private:
    void adjustAll();
    void adjust(const DeploymentSpec&, const DataCentreId&, FencingToken);
    // The orders are for one target and data centre; the last of them ends their sending.
    asio::awaitable<void> giveAll(std::vector<CapacityOrder>);
    asio::awaitable<void> give(const CapacityOrder&);

    asio::io_context& m_io;
    CapacityPlanner::Options m_plannerOptions;
    CapacityOrdersPtr m_orders;
    MayAct m_mayAct;
    asio::steady_timer m_timer;
    SnapshotPtr m_snapshot;
    std::map<TargetName, CapacityPlanner> m_planners;
    std::optional<std::vector<BackendServer>> m_servers; // none before the first list
    std::set<DataCentreId> m_evacuated;
    std::set<std::pair<TargetName, DataCentreId>> m_sending;
    bool m_stopped = false;
};

} // namespace lagoonspoke
