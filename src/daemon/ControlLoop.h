#pragma once

#include <deque>
#include <functional>
#include <map>

#include "daemon/PeerService.h"
#include "dispatch/Dispatcher.h"
#include "dispatch/routing/PlacementRouter.h"
#include "fleet/DomainLoad.h"
#include "http/Asio.h"
#include "settings/DaemonSettings.h"

namespace lagoonspoke {

// Runs the placement router and the dispatchers of the domains that this instance owns, and carries their messages to
// traffic threads and peers. Owned by the Daemon; used on the control thread only.
class ControlLoop {
public:
    using Deliver = std::function<void(int thread, DispatcherMessage)>;

    ControlLoop(asio::io_context&, const DaemonSettings&, PeerService&, Deliver);

    // Events of PeerService, passed on by the Daemon, as several services share them.
    void handleMembers(const std::vector<Member>&);
    void handleRumour(const Rumour&);
    void handlePeerLost(const InstanceId&);
    void handlePeerMessage(const InstanceId& from, std::string_view payload);
    void stop();
    void applySnapshot(SnapshotPtr);
    // All backend servers, of every region.
    void applyServers(std::vector<BackendServer>);
    void handleEntryMessage(int thread, EntryMessage);
    // Tells the domain's dispatcher if it runs here.
    void tellDispatcher(const DomainId&, const DispatchEvent&);
    // Model engines of the domains whose dispatchers run here.
    std::vector<std::pair<DomainId, BackendServer>> ownedEngines() const;
    // Loads of the domains whose dispatchers run here.
    std::vector<DomainLoad> ownLoads() const;

private:
    struct PublishedFloor {
        Tier tier;
        MonotonicTime at;
    };

    Dispatcher& dispatcherOf(const DomainId&);
    std::vector<BackendServer> serversOf(const DomainId&) const;
    // Tells the router and all dispatchers of the servers.
    void distributeServers();
    // What a cold server of the target tolerates, by the configuration and the settings.
    std::optional<ColdTolerance> coldToleranceOf(const TargetName&) const;
    // Writes the tolerances of the present configuration into the servers; returns whether any changed.
    bool updateColdTolerances();
    double connectedShare() const;
    RegionId regionOfServer(const BackendServer&) const;
    void route(const RouterEvent&);
    void execute(RouterAction&);
    void execute(const DomainId&, std::vector<DispatchAction>);
    void logRefusal(const DomainId&, const SendToEntry&, MonotonicTime now) const;
    static void logRequestLimit(const DomainId&, const RequestLimitChanged&);
    static void logPace(const DomainId&, const ServerPaceChanged&);
    static void logRejectionLimit(const DomainId&, const RejectionLimitChanged&);
    // Logs which servers were added or removed, leave, or are used again although they were known to leave.
    void logServerChanges(const std::vector<BackendServer>& servers) const;
    static void logQuarantine(const DomainId&, const PublishQuarantine&);
    void publishFloor(const DomainId&, Tier);
    // Hands the event that makeEvent gives for the domain to every dispatcher.
    void tellAll(const std::function<DispatchEvent(const DomainId&)>& makeEvent);
    void drainWork();
    void scheduleWakeup();
    void fireTimers();
    // Logs what the dispatchers with waiting requests believe, at most once in an interval.
    void logDispatchers(MonotonicTime now);

    const DaemonSettings& m_settings;
    PeerService& m_peers;
    Deliver m_deliver;
    asio::steady_timer m_timer;
    PlacementRouter m_router;
    SnapshotPtr m_snapshot;
    std::vector<BackendServer> m_servers;
    std::map<DataCentreId, RegionId> m_regions;
    std::map<DomainId, Dispatcher> m_dispatchers;
    std::map<DomainId, PublishedFloor> m_floors;
    std::deque<RouterAction> m_work; // actions lead to events and further actions; a queue keeps the stack flat
    bool m_working = false;
    MonotonicTime m_dispatchersLogged {};
    // What came from peers since the last log line of the dispatchers, and how late the timer fired at most.
    struct PeerTraffic {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
        std::uint64_t resyncs = 0;
        std::uint64_t resyncBytes = 0;
        Duration timerDelay {};
    };
    PeerTraffic m_traffic;
    MonotonicTime m_timerDue {};
};

} // namespace lagoonspoke
