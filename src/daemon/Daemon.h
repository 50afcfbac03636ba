#pragma once

#include <memory>
#include <vector>

#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include "config/StaticFile.h"
#include "daemon/ControlLoop.h"
#include "daemon/EngineMonitor.h"
#include "daemon/ExternalInterfaces.h"
#include "daemon/PeerService.h"
#include "daemon/ShutdownTimes.h"
#include "daemon/StoreServices.h"
#include "daemon/Supervisor.h"
#include "daemon/TrafficThread.h"
#include "http/HttpServer.h"
#include "observe/RequestMetrics.h"

namespace lagoonspoke {

// The whole process: control thread, traffic threads and admin listener. Owned by main.
class Daemon {
public:
    static Outcome<std::unique_ptr<Daemon>> Make(DaemonSettings, ExternalInterfaces);
    ~Daemon();

    // Applies a fixed configuration, for an instance without a platform.
    void applyStaticFile(StaticFile);
    using LoadSettings = std::function<tl::expected<DaemonSettings, std::vector<Error>>()>;
    // Serves until SIGTERM or SIGINT, then shuts down gracefully. SIGHUP loads the settings again.
    void run(const LoadSettings&);

    // The addresses as bound, with the port that the kernel gave for port 0.
    tcp::endpoint callerEndpoint() const { return m_traffic.front()->endpoint(); }
    tcp::endpoint adminEndpoint() const { return m_admin->endpoint(); }

private:
    Daemon(DaemonSettings, ExternalInterfaces);

    Outcome<void> open();
    Outcome<void> openTraffic();
    void openStore();
    // Hands the events of PeerService to the services that want them.
    void connectPeers();
    void setKeyedAdmission(bool allowed);
    // Declares what the control thread runs, in the order of starting.
    void declareChildren();
    // Puts a configuration into force on all threads.
    void applySnapshot(SnapshotPtr);
    bool isReady() const;
    asio::awaitable<void> drainTraffic();
    asio::awaitable<void> handleAdmin(HttpExchange&);
    asio::awaitable<void> shutDown();
    asio::awaitable<void> reloadOnSignal(asio::signal_set&, LoadSettings);

    DaemonSettings m_settings;
    asio::io_context m_io;
    ExternalInterfaces m_interfaces;
    prometheus::Registry m_registry;
    RequestMetrics m_metrics;
    prometheus::Gauge& m_configurationNumber;
    prometheus::Gauge& m_backendServers;
    prometheus::Gauge& m_droppedLogLines;
    prometheus::Gauge& m_evacuatedDataCentres;
    std::unique_ptr<PeerService> m_peers;
    std::unique_ptr<ControlLoop> m_control;
    std::unique_ptr<StoreServices> m_storeServices; // null with a static configuration
    std::unique_ptr<EngineMonitor> m_engines; // null when the engines have no such calls
    std::vector<std::unique_ptr<TrafficThread>> m_traffic;
    std::unique_ptr<HttpServer> m_admin;
    Supervisor m_supervisor;
    bool m_configured = false;
    // An instance that would refuse every key is not ready either, so that the load balancer picks another.
    bool m_keyedAdmission = true;
    bool m_leaving = false;
    ShutdownTimes m_shutdown;
};

} // namespace lagoonspoke
