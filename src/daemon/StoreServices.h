#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "daemon/CapacityService.h"
#include "daemon/ConfigurationService.h"
#include "daemon/DemandService.h"
#include "daemon/DocumentService.h"
#include "daemon/ExternalInterfaces.h"
#include "daemon/FleetService.h"
#include "daemon/LeaseService.h"
#include "daemon/PeerService.h"
#include "daemon/StreamOriginService.h"
#include "daemon/UsageService.h"
#include "entry/RequestRunner.h"

namespace lagoonspoke {

// What an instance does through the object store: configuration, leases, usage and orders of backend servers.
// Owned by the Daemon, which has none with a static configuration; used on the control thread only.
class StoreServices {
public:
    struct Callbacks {
        std::function<void(SnapshotPtr)> applySnapshot;
        std::function<void(bool)> setKeyedAdmission;
        std::function<std::vector<DomainLoad>()> ownLoads; // of the domains whose dispatchers run here
    };

    // The interfaces must have an object store.
    StoreServices(asio::io_context&, const DaemonSettings&, const ExternalInterfaces&, PeerService&, Callbacks);

    void start();
    void handleMembers();
    void handleRumour(const Rumour&);
    // The whole list of backend servers.
    void handleServers(const std::vector<BackendServer>&);
    // Writes or hands over the usage that is left and gives the leases up; takes a few seconds at most, and no more
    // than is left until the end of the process.
    asio::awaitable<void> stop(std::optional<MonotonicTime> processEnd);

    UsageSink usageSink();
    std::shared_ptr<StreamOrigins> streamOrigins() const { return m_streamOrigins; }

private:
    void changeLease(const std::string& lease, std::optional<FencingToken>);
    void openFleet(asio::io_context&, const ExternalInterfaces&);
    void openConfiguration(asio::io_context&, const ExternalInterfaces&);
    bool holdsFleetLease() const;
    std::optional<FencingToken> mayOrder(const DataCentreId&) const;
    DemandService::Callbacks makeDemandCallbacks();

    const DaemonSettings& m_settings;
    PeerService& m_peers;
    Callbacks m_callbacks;
    std::string m_process; // tells this process from an earlier one with the same instance id
    std::vector<DataCentreId> m_dataCentres; // among which backend servers are planned
    // One of the two: change tickets, or the operators' document.
    std::optional<ConfigurationService> m_tickets;
    std::optional<DocumentService> m_document;
    LeaseService m_leases;
    UsageService m_usage;
    // At most one of the two: orders of single backend servers, or of wished numbers.
    std::optional<FleetService> m_fleet;
    std::optional<CapacityService> m_capacity;
    DemandService m_demand;
    std::shared_ptr<StreamOriginService> m_streamOrigins;
};

} // namespace lagoonspoke
