#include "daemon/TrafficThread.h"

#include <algorithm>

#include <fmt/format.h>

#include "entry/InstallationLimits.h"
#include "observe/LogLine.h"

namespace lagoonspoke {

namespace {

constexpr Duration drainPollInterval = std::chrono::milliseconds(20);
// Time for the answers that end the last requests of a shutdown to be written.
constexpr Duration lastAnswersBound = std::chrono::milliseconds(100);

HttpExchange::Limits makeLimits(const DaemonSettings& settings)
{
    HttpExchange::Limits limits;
    limits.answersIdleTimeout = settings.answersIdleTimeout;
    limits.maxHeaderBytes = static_cast<std::size_t>(settings.maxHeaderBytes);
    limits.maxBodyBytes = static_cast<std::size_t>(settings.maxBodyBytes);
    limits.maxUnparsedBytes = static_cast<std::size_t>(settings.maxUnparsedBytes);
    limits.idleTimeout = settings.idleTimeout;
    limits.readTimeout = settings.readTimeout;
    limits.writeTimeout = settings.writeTimeout;
    return limits;
}

// The other half of the descriptors is for connections to backend servers, peers and the store.
std::int64_t mostConnections(const DaemonSettings& settings)
{
    return settings.maxDescriptors > 0
        ? std::clamp<std::int64_t>(settings.maxDescriptors / 2, 1, settings.maxConnections)
        : settings.maxConnections;
}

HttpServer::Options makeServerOptions(const DaemonSettings& settings, RequestMetrics& metrics)
{
    HttpServer::Options options;
    options.limits = makeLimits(settings);
    options.maxConnections = static_cast<std::size_t>(mostConnections(settings));
    options.heldInput = { static_cast<std::size_t>(settings.maxHeldRequestBytes), settings.bodyStallBound };
    options.limitReached = [&metrics](std::string_view limit) {
        metrics.countCallerLimit(limit);
        LogLine(LogLevel::Warning, "caller_limit_reached").add("limit", limit);
    };
    options.sharePort = true;
    return options;
}

} // namespace

Outcome<std::unique_ptr<TrafficThread>> TrafficThread::Make(int index, const DaemonSettings& settings,
    const tcp::endpoint& endpoint, const CallerDialect& dialect, RequestMetrics& metrics, SendToControl send,
    asio::io_context* control)
{
    std::unique_ptr<TrafficThread> thread(
        new TrafficThread(index, settings, dialect, metrics, std::move(send), control));
    auto handler = [service = &thread->m_service](HttpExchange& exchange) { return service->handle(exchange); };
    auto server = HttpServer::Make(thread->m_io, endpoint, makeServerOptions(settings, metrics), handler);
    if (!server) {
        return tl::make_unexpected(server.error());
    }
    thread->m_server = std::move(*server);
    return thread;
}

TrafficThread::TrafficThread(int index, const DaemonSettings& settings, const CallerDialect& dialect,
    RequestMetrics& metrics, SendToControl send, asio::io_context* control)
    : m_settings(settings)
    , m_ownIo(control ? nullptr : std::make_unique<asio::io_context>(1))
    , m_io(control ? *control : *m_ownIo)
    , m_work(asio::make_work_guard(m_io))
    , m_placement(m_io, [index, send = std::move(send)](EntryMessage message) { send(index, std::move(message)); })
    , m_service(m_io.get_executor(), dialect, m_settings, m_placement, metrics,
          fmt::format("{}-{:x}-{}", settings.instance.value(), readMonotonicClock().time_since_epoch().count(), index))
{
}

TrafficThread::~TrafficThread()
{
    stop();
}

void TrafficThread::start()
{
    m_server->start();
    if (m_ownIo) {
        m_thread = std::thread([this] { m_io.run(); });
    }
}

void TrafficThread::applySnapshot(SnapshotPtr snapshot)
{
    asio::post(m_io, [this, snapshot = std::move(snapshot)]() mutable {
        m_snapshot = snapshot;
        setLimits(snapshot->configuration());
        m_service.applySnapshot(std::move(snapshot));
        if (!m_settings.finishesWithdrawnRequests) {
            m_server->closeIdleConnections([this](const std::string& owner) { return !m_service.isValidKey(owner); });
        }
    });
}

void TrafficThread::setLimits(const Configuration& configuration)
{
    m_server->setLimits(makeLimits(applyInstallation(m_settings, configuration)));
}

void TrafficThread::applyLimits(const DaemonSettings& settings)
{
    asio::post(m_io, [this, settings] {
        copyLimits(settings, m_settings);
        if (m_snapshot) {
            setLimits(m_snapshot->configuration());
            m_service.applySnapshot(m_snapshot);
        }
    });
}

void TrafficThread::setUsageSink(UsageSink sink)
{
    asio::post(m_io, [this, sink = std::move(sink)]() mutable { m_service.setUsageSink(std::move(sink)); });
}

void TrafficThread::setStreamOrigins(std::shared_ptr<StreamOrigins> origins)
{
    asio::post(
        m_io, [this, origins = std::move(origins)]() mutable { m_service.setStreamOrigins(std::move(origins)); });
}

void TrafficThread::setTunnelPeers(std::vector<tcp::endpoint> peers)
{
    asio::post(m_io, [this, peers = std::move(peers)]() mutable { m_service.connector().setPeers(std::move(peers)); });
}

void TrafficThread::setCutOffChanged(std::function<void(bool)> handler)
{
    asio::post(m_io,
        [this, handler = std::move(handler)]() mutable { m_service.connector().setCutOffChanged(std::move(handler)); });
}

void TrafficThread::setAdmitsKeys(bool admits)
{
    asio::post(m_io, [this, admits] { m_service.setAdmitsKeys(admits); });
}

void TrafficThread::deliver(DispatcherMessage message)
{
    asio::post(m_io, [this, message = std::move(message)]() mutable { m_placement.deliver(std::move(message)); });
}

void TrafficThread::drain(std::function<void()> done)
{
    asio::post(m_io, [this, done = std::move(done)]() mutable {
        m_server->closeListener();
        asio::co_spawn(m_io, waitUntilIdle(std::move(done)), asio::detached);
    });
}

void TrafficThread::setRequestsEnd(MonotonicTime end)
{
    asio::post(m_io, [this, end] {
        m_requestsEnd = end;
        m_service.setRequestsEnd(end);
        asio::co_spawn(m_io, endLateRequests(), asio::detached);
    });
}

asio::awaitable<void> TrafficThread::endLateRequests()
{
    asio::steady_timer timer(m_io);
    while (true) {
        m_service.endLateRequests();
        timer.expires_after(drainPollInterval);
        co_await timer.async_wait(useTuple);
    }
}

asio::awaitable<void> TrafficThread::waitUntilIdle(std::function<void()> done)
{
    asio::steady_timer timer(m_io);
    auto isLate = [this] { return m_requestsEnd && readMonotonicClock() >= *m_requestsEnd + lastAnswersBound; };
    // The first wait lets idle connections whose next request has just arrived take it up.
    do {
        timer.expires_after(drainPollInterval);
        co_await timer.async_wait(useTuple);
    } while (m_server->activeRequestCount() > 0 && !isLate());
    LogLine(LogLevel::Info, "traffic_drained").add("unfinished", m_server->activeRequestCount());
    done();
}

void TrafficThread::stop()
{
    m_work.reset();
    if (m_ownIo) {
        m_io.stop();
    }
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

} // namespace lagoonspoke
