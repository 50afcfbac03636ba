#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "external/CapacityOrders.h"
#include "fleet/FleetPlanner.h"
#include "lagoonspoke/dispatch/BackendServer.h"

namespace lagoonspoke {

// Orders wished numbers of backend servers for the data centres whose leases this instance holds. An order names the
// whole number, so it can be repeated and needs no record. Owned by StoreServices; used on the control thread only.
class CapacityService {
public:
    // Whether an order under the lease of the data centre may be written now, and with which token.
    using MayAct = std::function<std::optional<FencingToken>(const DataCentreId&)>;

    CapacityService(asio::io_context&, std::vector<DataCentreId>, CapacityOrdersPtr, MayAct);

    void start();
    void stop() { m_timer.cancel(); }
    // The lease of the data centre was gained, or lost when there is no token.
    void applyLease(const DataCentreId&, std::optional<FencingToken>);
    // The whole list of backend servers. A leaving cheap server is taken as evicted.
    void applyServers(const std::vector<BackendServer>&);
    // Measured load of one target over all data centres. Targets without a demand are left alone.
    void applyDemand(const TargetName&, const FleetDemand&);

private:
    asio::io_context& m_io;
    std::vector<DataCentreId> m_dataCentres;
    CapacityOrdersPtr m_orders;
    MayAct m_mayAct;
    asio::steady_timer m_timer;
};

} // namespace lagoonspoke
