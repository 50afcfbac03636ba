#include "daemon/CapacityService.h"

namespace lagoonspoke {

CapacityService::CapacityService(
    asio::io_context& io, std::vector<DataCentreId> dataCentres, CapacityOrdersPtr orders, MayAct mayAct)
    : m_io(io)
    , m_dataCentres(std::move(dataCentres))
    , m_orders(std::move(orders))
    , m_mayAct(std::move(mayAct))
    , m_timer(io)
{
}

void CapacityService::start() { }

void CapacityService::applyLease(const DataCentreId&, std::optional<FencingToken>) { }

void CapacityService::applyServers(const std::vector<BackendServer>&) { }

void CapacityService::applyDemand(const TargetName&, const FleetDemand&) { }

} // namespace lagoonspoke
