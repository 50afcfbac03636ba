#pragma once

#include <deque>
#include <optional>
#include <random>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "dispatch/Dispatcher.h"

namespace lagoonspoke {

// Simple policies that serve as baselines for measurements: first in first out, round-robin, and power of two choices
// on stale load reports. Owned by the Dispatcher.
class BaselineDispatcher {
public:
    explicit BaselineDispatcher(const DispatchOptions&);

    std::vector<DispatchAction> handle(const DispatchEvent&, MonotonicTime now);
    std::vector<DispatchAction> advance(MonotonicTime now);
    std::optional<MonotonicTime> nextWakeup() const;
    const DispatchCounters& counters() const { return m_counters; }
    DispatchLoad load() const;
    DispatchSummary summarize() const;

private:
    struct Waiting {
        InstanceId entry;
        PlaceRequest place;
        MonotonicTime deadline;
    };
    struct ActiveGrant {
        InstanceId entry;
        BackendServerId server;
    };
    struct Server {
        BackendServer server;
        int inFlight = 0;
        int reportedLoad = 0;
    };

    void accept(const InstanceId& entry, const EntryMessage&, MonotonicTime now);
    void loseEntry(const InstanceId&);
    void replaceServers(const std::vector<BackendServer>&);
    void release(const RequestId&);
    Server* choose(const PlaceRequest&);
    Server* chooseLeastInFlight(const std::vector<Server*>&) const;
    Server* chooseOfTwo(const std::vector<Server*>&);
    void grantWaiting();

    DispatchOptions m_options;
    std::mt19937_64 m_random;
    std::uint64_t m_lastGrant = 0;
    std::size_t m_nextServer = 0; // index of the next server for RoundRobin
    std::deque<Waiting> m_queue;
    absl::flat_hash_map<RequestId, ActiveGrant> m_activeGrants;
    std::vector<Server> m_servers;
    DispatchCounters m_counters;
    std::vector<DispatchAction> m_actions;
};

} // namespace lagoonspoke
