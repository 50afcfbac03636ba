#pragma once

#include <string>

#include "entry/RequestRunner.h"

namespace lagoonspoke {

// Serves the callers' requests of one traffic thread. Owned by the thread's TrafficThread; used on that thread only.
class CallerService {
public:
    // The dialect outlives the service. The usage sink may be empty.
    CallerService(const asio::any_io_executor&, const CallerDialect&, const DaemonSettings&, PlacementClient&,
        RequestMetrics&, std::string requestIdPrefix, UsageSink = {});
    ~CallerService();

    asio::awaitable<void> handle(HttpExchange&);
    // Takes effect for new requests, and ends the running requests whose key the snapshot does not have.
    void applySnapshot(SnapshotPtr);
    // Whether the key of this digest still belongs to a team; true for an empty digest.
    bool isValidKey(const std::string& digest) const;
    void setUsageSink(UsageSink sink) { m_services.usageSink = std::move(sink); }
    void setStreamOrigins(std::shared_ptr<StreamOrigins> origins) { m_services.streamOrigins = std::move(origins); }
    // The connections to backend servers; see ServerConnector for what it wants to know.
    ServerConnector& connector() { return m_services.connector; }
    // With false, new requests that carry a key are refused as not_ready; running ones go on.
    void setAdmitsKeys(bool admits) { m_services.admitsKeys = admits; }
    // Begins a shutdown: from now on only requests run that are expected to end by then.
    void setRequestsEnd(MonotonicTime end) { m_services.requestsEnd = end; }
    // Called again and again during a shutdown: refuses the waiting requests that could no longer end in time, and
    // from the end on gives every request its final answer.
    void endLateRequests();
    // Bytes of answers that are held back until they are whole.
    std::size_t heldAnswerBytes() const { return m_services.heldAnswers.total(); }
    std::size_t idleBackendConnections() const { return m_services.pool.size(); }

private:
    using Runners = boost::intrusive::list<RequestRunner, boost::intrusive::constant_time_size<false>>;

    void revoke(const Revoke&);

    const DaemonSettings& m_ownSettings;
    DaemonSettings m_settings; // with the limits of the configuration in force
    EntryServices m_services;
    std::string m_requestIdPrefix;
    std::uint64_t m_lastRequest = 0;
    SnapshotPtr m_snapshot;
    Runners m_running;
};

} // namespace lagoonspoke
