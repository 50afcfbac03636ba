#pragma once

#include <memory>
#include <thread>

#include "entry/CallerService.h"
#include "entry/PlacementClient.h"
#include "http/HttpServer.h"

namespace lagoonspoke {

// A caller listener and its requests, on a thread with its own event loop or on the control thread's. Owned by the
// Daemon. Public members may be called from any thread; they post to the event loop.
class TrafficThread {
public:
    using SendToControl = std::function<void(int thread, EntryMessage)>;

    // Without an event loop of the control thread, it runs a thread of its own.
    static Outcome<std::unique_ptr<TrafficThread>> Make(int index, const DaemonSettings&, const tcp::endpoint&,
        const CallerDialect&, RequestMetrics&, SendToControl, asio::io_context* control = nullptr);
    ~TrafficThread();

    tcp::endpoint endpoint() const { return m_server->endpoint(); }
    void start();
    void applySnapshot(SnapshotPtr);
    // Takes the limits of connections and the times of new settings; the rest takes effect at the next start.
    void applyLimits(const DaemonSettings&);
    void deliver(DispatcherMessage);
    // The sink runs on this thread.
    void setUsageSink(UsageSink);
    // The origins are called on this thread.
    void setStreamOrigins(std::shared_ptr<StreamOrigins>);
    // The peer addresses of the instances that may carry connections to backend servers.
    void setTunnelPeers(std::vector<tcp::endpoint>);
    // The handler runs on this thread; see ServerConnector.
    void setCutOffChanged(std::function<void(bool)>);
    // With false, new requests that carry a key are refused, as the instance may have missed a withdrawal.
    void setAdmitsKeys(bool);
    // Begins a shutdown in which every request has its final answer by then.
    void setRequestsEnd(MonotonicTime);
    // Closes the listener, lets running requests finish, at most until the time of setRequestsEnd(), then calls done on
    // this thread.
    void drain(std::function<void()> done);
    void stop();

private:
    TrafficThread(int index, const DaemonSettings&, const CallerDialect&, RequestMetrics&, SendToControl,
        asio::io_context* control);

    asio::awaitable<void> endLateRequests();
    asio::awaitable<void> waitUntilIdle(std::function<void()> done);

    void setLimits(const Configuration&);

    DaemonSettings m_settings;
    SnapshotPtr m_snapshot; // null before the first
    std::optional<MonotonicTime> m_requestsEnd;
    std::unique_ptr<asio::io_context> m_ownIo; // null on the control thread
    asio::io_context& m_io;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    PlacementClient m_placement;
    CallerService m_service;
    std::unique_ptr<HttpServer> m_server;
    std::thread m_thread;
};

} // namespace lagoonspoke
