#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "external/FleetClient.h"
#include "external/ObjectStore.h"
#include "fleet/FleetAdjuster.h"
#include "fleet/FleetPlanner.h"
#include "fleet/LoadPacer.h"
#include "fleet/OrderLog.h"

namespace lagoonspoke {

// Keeps the backend servers of the data centres whose leases this instance holds at the planned counts.
// Owned by the Daemon; used on the control thread only.
class FleetService {
public:
    struct Options {
        std::string sender; // names this process in the platform's logs
        std::vector<DataCentreId> dataCentres;
        Duration adjustInterval = std::chrono::seconds(1);
        // Time from a start order until the server is on the instance list.
        Duration arrivalBound = std::chrono::minutes(3);
        // At most the longest life of an order in flight.
        Duration orderBound = std::chrono::milliseconds(2900);
        // Time between two orders that load weights.
        Duration loadInterval = std::chrono::seconds(2);
    };
    // Whether an order under the lease of the data centre may be written now, and with which token.
    using MayAct = std::function<std::optional<FencingToken>(const DataCentreId&)>;
    using DrainingChanged = std::function<void(const std::set<BackendServerId>&)>;

    FleetService(asio::io_context&, Options, ObjectStorePtr, tcp::endpoint fleetInterface, MayAct);
    ~FleetService();

    // Called with all servers of the held data centres that must get no new work.
    void setDrainingChanged(DrainingChanged changed) { m_drainingChanged = std::move(changed); }
    void start();
    // The lease of the data centre was gained, or lost when there is no token.
    void applyLease(const DataCentreId&, std::optional<FencingToken>);
    // The whole list of backend servers. A leaving spot server is taken as evicted.
    void applyServers(std::vector<BackendServer>);
    // Measured load of one target over all data centres. Targets without a demand are left alone.
    void applyDemand(const TargetName&, const FleetDemand&);
    void applyBusy(std::map<BackendServerId, int> busy) { m_busy = std::move(busy); }
    // Orders to load a model, an adapter or a version, or to change a role; paced to the weight store's rate.
    void order(const DataCentreId&, FleetOrderBody);

private:
    struct Target {
        FleetDemand demand;
        FleetPlanner planner;
    };
    struct Arriving {
        StartServer order;
        MonotonicTime until;
    };
    struct Site {
        OrderLog log;
        FleetClient client;
        LoadPacer pacer;
        std::map<TargetName, FleetAdjuster> adjusters;
        std::vector<Arriving> arriving; // started, but not on the instance list yet
    };

    asio::awaitable<void> run();
    void adjustAll();
    void adjustSite(const DataCentreId&, Site&, const TargetName&, const FleetCounts&);
    void noteArrivals(const std::vector<BackendServer>&);
    void publishDraining();
    void drive(const DataCentreId&, const OrderLogEvent&);
    void execute(const DataCentreId&, std::vector<OrderLogAction>);
    void finish(const DataCentreId&, const OrderFinished&);
    asio::awaitable<void> read(DataCentreId, ReadOrderLog);
    asio::awaitable<void> write(DataCentreId, WriteOrderLog);
    asio::awaitable<void> send(DataCentreId, SendOrder);
    asio::awaitable<Outcome<void>> deliver(DataCentreId, SendOrder);

    asio::io_context& m_io;
    Options m_options;
    ObjectStorePtr m_store;
    MayAct m_mayAct;
    DrainingChanged m_drainingChanged;
    std::map<DataCentreId, std::unique_ptr<Site>> m_sites;
    std::map<TargetName, Target> m_targets;
    std::vector<BackendServer> m_servers;
    std::map<BackendServerId, int> m_busy;
    std::set<BackendServerId> m_published;
};

} // namespace lagoonspoke
