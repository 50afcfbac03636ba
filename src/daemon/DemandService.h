#pragma once

#include <functional>
#include <map>

#include "daemon/PeerService.h"
#include "fleet/DomainLoad.h"
#include "fleet/FleetPlanner.h"
#include "lagoonspoke/config/ConfigurationSnapshot.h"

namespace lagoonspoke {

// Collects the load of every deployment for the planning of backend servers: an instance that holds a fleet lease asks
// the owners of its region's domains each second. Only holders ask, so that idle instances cost nothing.
// Owned by StoreServices; used on the control thread only.
class DemandService {
public:
    struct Callbacks {
        std::function<bool()> holdsLease; // any lease on a data centre's backend servers
        std::function<std::vector<DomainLoad>()> ownLoads; // of the domains whose dispatchers run here
        std::function<void(const TargetName&, const FleetDemand&)> applyDemand;
        std::function<void(std::map<BackendServerId, int>)> applyBusy;
    };

    DemandService(asio::io_context&, const DaemonSettings&, PeerService&, Callbacks);

    void start();
    void stop() { m_timer.cancel(); }
    void applySnapshot(SnapshotPtr snapshot) { m_snapshot = std::move(snapshot); }
    // A message on PeerChannel::Fleet.
    void receive(const InstanceId& from, std::string_view payload);

private:
    void ask();
    void take(const std::vector<DomainLoad>&);

    const DaemonSettings& m_settings;
    PeerService& m_peers;
    Callbacks m_callbacks;
    asio::steady_timer m_timer;
    SnapshotPtr m_snapshot;
    std::map<DomainId, DomainLoad> m_loads;
};

} // namespace lagoonspoke
