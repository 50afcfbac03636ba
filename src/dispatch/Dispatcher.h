#pragma once

#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "dispatch/DispatchCounters.h"
#include "dispatch/DispatchOptions.h"
#include "dispatch/servers/ServerPace.h"
#include "lagoonspoke/config/ConfigurationSnapshot.h"
#include "lagoonspoke/dispatch/BackendServer.h"
#include "lagoonspoke/dispatch/Messages.h"

namespace lagoonspoke {

// The domain's backend servers changed; carries the whole new list.
struct ServersChanged {
    std::vector<BackendServer> servers;
};

struct ConfigurationChanged {
    SnapshotPtr snapshot;
};

// A message from the entry that runs on the given instance.
struct EntryMessageReceived {
    InstanceId entry;
    EntryMessage message;
    DataCentreId dataCentre {}; // of the entry; empty when unknown
};

// The entry's instance died: all its grants and waiting requests are void.
struct EntryLost {
    InstanceId entry;
};

// A load report of a model engine. The server created it the duration "age" before it arrived here.
struct LoadReported {
    BackendServerId server;
    int running = 0;
    int waiting = 0;
    double tokensPerSecond = 0;
    Duration age {};
};

// Changes of a model engine's prefix cache, in order; a gap in the sequence numbers means that events were lost.
struct CacheEventsReported {
    struct Change {
        PrefixBlock block;
        bool stored = true; // otherwise evicted
    };
    BackendServerId server;
    std::uint64_t firstSequence = 0;
    std::vector<Change> changes;
};

// Another dispatcher quarantined the fingerprint for the remaining time.
struct QuarantineReceived {
    Fingerprint fingerprint {}; // of a request, or of a shared part of prompts
    Duration remaining {};
    std::vector<Fingerprint> companions = {}; // the quarantine covers only requests with these parts as well
};

// The lowest tier that another dispatcher of this domain currently admits.
struct FloorReceived {
    InstanceId from;
    Tier floor;
};

// The part of the region's known instances that this one is connected to, 0 to 1.
struct ConnectedShareChanged {
    double share = 1;
};

using DispatchEvent = std::variant<EntryMessageReceived, EntryLost, ServersChanged, ConfigurationChanged, LoadReported,
    CacheEventsReported, QuarantineReceived, FloorReceived, ConnectedShareChanged>;

// The values that a refusal was based on, for the log.
struct RefusalInputs {
    Tier tier;
    int attempt = 1;
    MonotonicTime queuedAt;
    MonotonicTime latestStart; // a later grant would miss the deadline or the caller's patience
    std::size_t waitingInTier = 0;
    std::size_t serverCount = 0;
    double unreadPromptTokens = 0; // prompt tokens that all engines together have not read (prefilled) yet
};

struct SendToEntry {
    InstanceId entry;
    DispatcherMessage message;
    std::optional<RefusalInputs> inputs = {}; // set for refusals
};

// To be propagated to all instances; see QuarantineReceived.
struct PublishQuarantine {
    Fingerprint fingerprint {};
    Duration remaining {};
    std::vector<Fingerprint> companions = {};
};

// To be propagated to all instances: this dispatcher admits no tier below the floor.
struct PublishFloor {
    Tier floor;
};

// For the log: a backend server named another request limit, or answered without one.
struct RequestLimitChanged {
    BackendServerId server;
    std::optional<RequestRate> limit;
    RequestId request; // whose answer showed it
    InstanceId entry;
};

// For the log: a backend server named another number of rejections that it survives, or answered without one.
struct RejectionLimitChanged {
    BackendServerId server;
    std::optional<RequestRate> limit;
    RequestId request; // whose answer showed it
    InstanceId entry;
};

// For the log: a backend server gets its load step by step from now on, or no longer.
struct ServerPaceChanged {
    BackendServerId server;
    std::optional<PaceReason> begun; // empty when it ended
};

using DispatchAction = std::variant<SendToEntry, PublishQuarantine, PublishFloor, RequestLimitChanged,
    RejectionLimitChanged, ServerPaceChanged>;

struct DispatchLoad {
    // Granted and waiting requests.
    std::map<Tier, int> requestsByTier;
    std::map<BackendServerId, int> grantsByServer;
    // Averages over the last seconds; 0 until the domain has been busy for a second.
    double meanRequests = 0; // granted and waiting
    double readingServers = 0; // servers that reading prompts keeps busy
};

// A dispatcher's view of its domain at one moment, for the log.
struct DispatchSummary {
    std::map<Tier, std::size_t> waiting;
    // Since the dispatcher started.
    std::map<Tier, std::uint64_t> grants;
    std::map<Tier, std::uint64_t> guaranteedGrants; // included in the grants: from the tier's guaranteed share
    std::int64_t waitingCost = 0; // predicted tokens of the waiting requests
    std::size_t suspects = 0; // waiting for an isolated server
    int servers = 0;
    int leavingServers = 0;
    int evacuatedServers = 0;
    int ejectedServers = 0;
    int limitedServers = 0; // that name a request limit
    int coldServers = 0;
    int pacedServers = 0; // that get their load step by step
    int isolatedServers = 0; // reserved for a suspect request, or running one
    int busySlots = 0;
    int serversWithUnreadPrompts = 0; // with prompts that are not fully read yet
    Duration meanTimeToRead {}; // to read those prompts, averaged over all servers
};

class PolicyDispatcher;
class BaselineDispatcher;

// Decides which waiting request of one domain runs next and on which backend server.
// Owned by the control thread of the instance that the domain hashes to. Has the only queue of the domain.
class Dispatcher {
public:
    static Dispatcher Make(DomainId);
    static Dispatcher Make(DomainId, const DispatchOptions&);
    Dispatcher(Dispatcher&&) noexcept;
    Dispatcher& operator=(Dispatcher&&) noexcept;
    ~Dispatcher();

    std::vector<DispatchAction> handle(const DispatchEvent&, MonotonicTime now);
    std::vector<DispatchAction> advance(MonotonicTime now);
    std::optional<MonotonicTime> nextWakeup() const;

    const DispatchCounters& counters() const;
    // Running and waiting requests at this moment, for planning the number of backend servers.
    DispatchLoad load() const;
    DispatchSummary summarize() const;

private:
    using Implementation = std::variant<std::unique_ptr<PolicyDispatcher>, std::unique_ptr<BaselineDispatcher>>;

    Dispatcher(DomainId, Implementation);

    DomainId m_domain;
    Implementation m_implementation;
};

} // namespace lagoonspoke
