#include "daemon/Daemon.h"

#include <csignal>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <prometheus/text_serializer.h>

#include "daemon/SignalMask.h"
#include "http/Endpoint.h"
#include "observe/LogLine.h"

namespace lagoonspoke {

Outcome<std::unique_ptr<Daemon>> Daemon::Make(DaemonSettings settings, ExternalInterfaces interfaces)
{
    setLogInstance(settings.instance.value());
    std::unique_ptr<Daemon> daemon(new Daemon(std::move(settings), std::move(interfaces)));
    if (auto opened = daemon->open(); !opened) {
        return tl::make_unexpected(opened.error());
    }
    return daemon;
}

namespace {

constexpr std::size_t maxAdminConnections = 64;

prometheus::Gauge& makeGauge(prometheus::Registry& registry, const std::string& name, const std::string& help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

// Which evacuations this instance obeys, and for how long already.
std::string describeEvacuations(const std::map<DataCentreId, MonotonicTime>& evacuations)
{
    boost::json::array list;
    for (const auto& [dataCentre, since] : evacuations) {
        list.push_back(boost::json::object { { "data_centre", dataCentre.value() },
            { "obeyed_ms", static_cast<std::int64_t>(toMilliseconds(readMonotonicClock() - since)) } });
    }
    return boost::json::serialize(list);
}

} // namespace

Daemon::Daemon(DaemonSettings settings, ExternalInterfaces interfaces)
    : m_settings(std::move(settings))
    , m_io(1)
    , m_interfaces(std::move(interfaces))
    , m_metrics(m_registry)
    , m_configurationNumber(makeGauge(
          m_registry, "lagoonspoke_configuration_number", "Number of the configuration in force; 0 before the first."))
    , m_backendServers(
          makeGauge(m_registry, "lagoonspoke_backend_servers", "Backend servers known from the instance list."))
    , m_droppedLogLines(makeGauge(m_registry, "lagoonspoke_log_lines_dropped",
          "Log lines not written since the start: over the volume, or not read in time."))
    , m_evacuatedDataCentres(makeGauge(m_registry, "lagoonspoke_evacuated_data_centres",
          "Data centres whose backend servers this instance sends nothing to, by an operator's request."))
    , m_supervisor(m_io, {})
{
}

Daemon::~Daemon() = default;

Outcome<void> Daemon::open()
{
    auto peers = PeerService::Make(m_io, m_settings, m_interfaces.directory);
    if (!peers) {
        return tl::make_unexpected(peers.error());
    }
    m_peers = std::move(*peers);
    m_control
        = std::make_unique<ControlLoop>(m_io, m_settings, *m_peers, [this](int thread, DispatcherMessage message) {
              m_traffic[static_cast<std::size_t>(thread)]->deliver(std::move(message));
          });
    if (m_interfaces.monitorsEngines) {
        EngineMonitor::Callbacks callbacks;
        callbacks.listServers = [this] { return m_control->ownedEngines(); };
        callbacks.report
            = [this](const DomainId& domain, const DispatchEvent& event) { m_control->tellDispatcher(domain, event); };
        m_engines = std::make_unique<EngineMonitor>(m_io, std::move(callbacks));
    }
    connectPeers();
    if (auto opened = openTraffic(); !opened) {
        return opened;
    }
    openStore();
    auto admin = parseEndpoint(m_settings.adminAddress);
    if (!admin) {
        return tl::make_unexpected(admin.error());
    }
    HttpServer::Options options;
    options.maxConnections = maxAdminConnections;
    auto server = HttpServer::Make(
        m_io, *admin, std::move(options), [this](HttpExchange& exchange) { return handleAdmin(exchange); });
    if (!server) {
        return tl::make_unexpected(server.error());
    }
    m_admin = std::move(*server);
    declareChildren();
    return {};
}

Outcome<void> Daemon::openTraffic()
{
    auto callers = parseEndpoint(m_settings.callerAddress);
    if (!callers) {
        return tl::make_unexpected(callers.error());
    }
    auto* shared = m_settings.trafficThreads == 0 ? &m_io : nullptr;
    for (int i = 0; i < std::max(1, m_settings.trafficThreads); ++i) {
        auto send = [this](int index, EntryMessage message) {
            asio::post(m_io, [this, index, message = std::move(message)]() mutable {
                m_control->handleEntryMessage(index, std::move(message));
            });
        };
        auto thread
            = TrafficThread::Make(i, m_settings, *callers, *m_interfaces.dialect, m_metrics, std::move(send), shared);
        if (!thread) {
            return tl::make_unexpected(thread.error());
        }
        (*thread)->setCutOffChanged(
            [this](bool cutOff) { asio::post(m_io, [this, cutOff] { m_peers->setCutOff(cutOff); }); });
        // With port 0 the first thread learns the port from the kernel and the others share it.
        *callers = (*thread)->endpoint();
        m_traffic.push_back(std::move(*thread));
    }
    return {};
}

void Daemon::openStore()
{
    if (!m_interfaces.store) {
        return;
    }
    StoreServices::Callbacks callbacks;
    callbacks.applySnapshot = [this](SnapshotPtr snapshot) { applySnapshot(std::move(snapshot)); };
    callbacks.setKeyedAdmission = [this](bool allowed) { setKeyedAdmission(allowed); };
    callbacks.ownLoads = [this] { return m_control->ownLoads(); };
    m_storeServices = std::make_unique<StoreServices>(m_io, m_settings, m_interfaces, *m_peers, std::move(callbacks));
    setKeyedAdmission(false);
    for (auto& thread : m_traffic) {
        thread->setUsageSink(m_storeServices->usageSink());
        thread->setStreamOrigins(m_storeServices->streamOrigins());
    }
}

void Daemon::setKeyedAdmission(bool allowed)
{
    m_keyedAdmission = allowed;
    for (auto& thread : m_traffic) {
        thread->setAdmitsKeys(allowed);
    }
}

void Daemon::connectPeers()
{
    m_peers->setMembersChanged([this] {
        m_control->handleMembers(m_peers->members());
        for (auto& thread : m_traffic) {
            thread->setTunnelPeers(m_peers->tunnelPeers());
        }
        if (m_storeServices) {
            m_storeServices->handleMembers();
        }
    });
    m_peers->setRoleChanged([this] {
        if (m_storeServices) {
            m_storeServices->handleMembers();
        }
    });
    m_peers->setRumourReceiver([this](const Rumour& rumour) {
        m_control->handleRumour(rumour);
        if (m_storeServices) {
            m_storeServices->handleRumour(rumour);
        }
    });
    m_peers->setServersChanged([this](std::vector<BackendServer> servers) {
        m_backendServers.Set(static_cast<double>(servers.size()));
        m_evacuatedDataCentres.Set(static_cast<double>(m_peers->evacuations().size()));
        if (m_storeServices) {
            m_storeServices->handleServers(servers);
        }
        m_control->applyServers(std::move(servers));
    });
    m_peers->setPeerLost([this](const InstanceId& peer) { m_control->handlePeerLost(peer); });
    m_peers->setReceiver(PeerChannel::Placement,
        [this](const InstanceId& from, std::string_view payload) { m_control->handlePeerMessage(from, payload); });
}

void Daemon::declareChildren()
{
    auto add = [&](std::string name, std::function<void()> start, std::function<asio::awaitable<void>()> stop) {
        auto startChild = [start = std::move(start)]() -> Outcome<void> {
            start();
            return {};
        };
        m_supervisor.add({ std::move(name), std::move(startChild), std::move(stop) });
    };
    add("admin", [this] { m_admin->start(); }, {});
    add(
        "control", [] {},
        [this]() -> asio::awaitable<void> {
            m_control->stop();
            co_return;
        });
    add(
        "peers", [this] { m_peers->start(); },
        [this]() -> asio::awaitable<void> {
            co_await m_peers->drainTunnels(m_shutdown.requestsEnd.value_or(MonotonicTime::max()));
            m_peers->stop();
        });
    if (m_engines) {
        add(
            "engines", [this] { m_engines->start(); },
            [this]() -> asio::awaitable<void> {
                m_engines->stop();
                co_return;
            });
    }
    if (m_storeServices) {
        add(
            "store services", [this] { m_storeServices->start(); },
            [this] { return m_storeServices->stop(m_shutdown.processEnd); });
    }
    add(
        "traffic",
        [this] {
            for (auto& thread : m_traffic) {
                thread->start();
            }
        },
        [this] { return drainTraffic(); });
}

void Daemon::applyStaticFile(StaticFile file)
{
    applySnapshot(ConfigurationSnapshot::Make(std::move(file.configuration)));
    m_control->applyServers(std::move(file.servers));
}

void Daemon::applySnapshot(SnapshotPtr snapshot)
{
    m_configurationNumber.Set(static_cast<double>(snapshot->number()));
    m_control->applySnapshot(snapshot);
    for (auto& thread : m_traffic) {
        thread->applySnapshot(snapshot);
    }
    m_configured = true;
}

bool Daemon::isReady() const
{
    return m_configured && m_keyedAdmission && !m_leaving && (!m_interfaces.directory || m_peers->knowsServers());
}

asio::awaitable<void> Daemon::handleAdmin(HttpExchange& exchange)
{
    auto target = exchange.target();
    if (target == "/healthz") {
        co_await exchange.respond(http::status::ok, "text/plain", "ok\n");
    } else if (target == "/readyz") {
        auto status = isReady() ? http::status::ok : http::status::service_unavailable;
        co_await exchange.respond(status, "text/plain", isReady() ? "ready\n" : "not ready\n");
    } else if (target == "/evacuations") {
        co_await exchange.respond(http::status::ok, "application/json", describeEvacuations(m_peers->evacuations()));
    } else if (target == "/metrics") {
        m_droppedLogLines.Set(static_cast<double>(countDroppedLogLines()));
        auto text = prometheus::TextSerializer().Serialize(m_registry.Collect());
        co_await exchange.respond(http::status::ok, "text/plain; version=0.0.4", std::move(text));
    } else {
        co_await exchange.respond(http::status::not_found, "text/plain", "not found\n");
    }
}

asio::awaitable<void> Daemon::shutDown()
{
    m_leaving = true;
    m_shutdown = ShutdownTimes::Make(m_settings, readMonotonicClock());
    LogLine(LogLevel::Info, "shutdown_started")
        .add("delay_ms", toMilliseconds(m_shutdown.delay))
        .add("grace_ms", toMilliseconds(m_settings.shutdownGrace.value_or(Duration(0))));
    // The domains move to other instances at once; callers still come until the balancer notices.
    m_peers->announceLeaving();
    if (m_shutdown.requestsEnd) {
        for (auto& thread : m_traffic) {
            thread->setRequestsEnd(*m_shutdown.requestsEnd);
        }
    }
    asio::steady_timer timer(m_io, m_shutdown.delay);
    co_await timer.async_wait(useTuple);
    co_await m_supervisor.stop();
    m_io.stop();
}

asio::awaitable<void> Daemon::drainTraffic()
{
    auto remaining = std::make_shared<std::size_t>(m_traffic.size());
    asio::steady_timer drained(m_io, asio::steady_timer::time_point::max());
    for (auto& thread : m_traffic) {
        thread->drain([this, remaining, &drained] {
            asio::post(m_io, [remaining, &drained] {
                if (--*remaining == 0) {
                    drained.cancel();
                }
            });
        });
    }
    co_await drained.async_wait(useTuple);
}

asio::awaitable<void> Daemon::reloadOnSignal(asio::signal_set& signals, LoadSettings load)
{
    // Goes on during the shutdown: a reload signal without a handler would end the process.
    while (true) {
        auto [ec, signal] = co_await signals.async_wait(useTuple);
        if (ec) {
            co_return;
        }
        auto settings = load();
        if (!settings) {
            // The settings in force stay.
            for (const auto& error : settings.error()) {
                LogLine(LogLevel::Error, "settings_refused").add("path", error.path).add("reason", error.message);
            }
            continue;
        }
        for (auto& thread : m_traffic) {
            thread->applyLimits(*settings);
        }
        if (settings->shutdownGrace) {
            m_settings.shutdownGrace = settings->shutdownGrace;
        }
        LogLine(LogLevel::Info, "settings_reloaded").add("instance", m_settings.instance.value());
    }
}

void Daemon::run(const LoadSettings& load)
{
    asio::signal_set reloadSignals(m_io, SIGHUP);
    asio::signal_set stopSignals(m_io, SIGTERM, SIGINT);
    unblockSignals({ SIGHUP });
    asio::co_spawn(m_io, reloadOnSignal(reloadSignals, load), asio::detached);
    stopSignals.async_wait([this](error_code ec, int) {
        if (!ec) {
            asio::co_spawn(m_io, shutDown(), asio::detached);
        }
    });
    m_supervisor.start();
    LogLine(LogLevel::Info, "listening")
        .add("instance", m_settings.instance.value())
        .add("caller_address", formatEndpoint(callerEndpoint()))
        .add("admin_address", formatEndpoint(adminEndpoint()))
        .add("peer_address", m_peers->address());
    m_io.run();
    for (auto& thread : m_traffic) {
        thread->stop();
    }
    // The handlers end with this function.
    blockSignals({ SIGTERM, SIGINT, SIGHUP });
    LogLine(LogLevel::Info, "stopped");
}

} // namespace lagoonspoke
