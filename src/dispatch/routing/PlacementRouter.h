#pragma once

#include <list>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <variant>
#include <vector>

#include "dispatch/Dispatcher.h"
#include "dispatch/routing/FallbackPlacer.h"
#include "dispatch/servers/ServerSignals.h"
#include "lagoonspoke/dispatch/PlacementMessage.h"
#include "lagoonspoke/membership/Member.h"

namespace lagoonspoke {

// A message from one of this instance's traffic threads.
struct ThreadMessage {
    int thread = 0;
    EntryMessage message;
};

// A message from another instance, as an entry or as a domain's dispatcher.
struct PeerMessage {
    InstanceId from;
    PlacementPacket packet;
};

// A message from this instance's dispatcher of the domain.
struct DispatcherOutput {
    DomainId domain;
    SendToEntry send;
};

struct MembersUpdated {
    std::vector<Member> members; // this instance included
};

// Messages to the peer may have been lost.
struct PeerLost {
    InstanceId peer;
};

struct DomainFloorReceived {
    DomainId domain;
    FloorReceived floor;
};

using RouterEvent = std::variant<ThreadMessage, PeerMessage, DispatcherOutput, MembersUpdated, ServersChanged, PeerLost,
    DomainFloorReceived, QuarantineReceived>;

struct SendToPeer {
    InstanceId to;
    PlacementPacket packet;
};

struct SendToDispatcher {
    DomainId domain;
    DispatchEvent event;
};

// This instance no longer owns the domain.
struct DropDispatcher {
    DomainId domain;
    std::optional<InstanceId> owner; // the new one
};

struct DeliverToThread {
    int thread = 0;
    DispatcherMessage message;
};

using RouterAction = std::variant<SendToPeer, SendToDispatcher, DropDispatcher, DeliverToThread>;

// Routes placement messages between this instance's traffic threads and the dispatcher of each domain, on whichever
// instance it runs. Stores the waiting requests and the active grants, to send them to a new dispatcher in a resync.
// Refuses requests and resyncs of other instances for domains that this instance does not own. Owned by ControlLoop.
class PlacementRouter {
public:
    struct Options {
        InstanceId self;
        std::uint64_t seed = 0;
        Duration dispatcherTimeout = std::chrono::seconds(1); // then this instance places locally
        Duration unresponsiveDispatcherTimeout = std::chrono::milliseconds(100); // after a timeout, until it responds
        Duration fallbackRetry = std::chrono::milliseconds(100);
        Duration grantExpiry = std::chrono::seconds(2);
        Duration initialResyncDelay = std::chrono::milliseconds(50);
        Duration maxResyncDelay = std::chrono::milliseconds(400);
        Duration resyncRequestInterval = std::chrono::milliseconds(500); // to entries whose state is stale
    };

    static PlacementRouter Make(Options);

    std::vector<RouterAction> handle(const RouterEvent&, MonotonicTime now);
    std::vector<RouterAction> advance(MonotonicTime now);
    std::optional<MonotonicTime> nextWakeup() const;

    bool owns(const DomainId&) const;
    // The quarantines in force, which a new dispatcher has to know.
    std::vector<QuarantineReceived> quarantines(MonotonicTime now) const { return m_fallback.quarantines(now); }
    std::size_t requestCount() const { return m_requests.size(); }
    // Resyncs sent to dispatchers since the start.
    std::uint64_t resyncsSent() const { return m_resyncsSent; }

private:
    // A request of this instance's callers, from its arrival until it is refused, withdrawn or finished.
    struct Request {
        int thread = 0;
        PlaceRequest place;
        MonotonicTime arrived;
        MonotonicTime deadline;
        MonotonicTime fallbackAt; // next attempt to place locally, unless acknowledged
        bool acknowledged = false; // by the current owner
        std::optional<HeldGrant> held;
        InstanceId grantedBy;
        bool placedLocally = false;
        MonotonicTime grantedAt;
        MonotonicTime timerDue; // the key in m_timers
        bool revoked = false; // the thread was told that nothing may be sent on the grant any more
    };
    // The backend server that last processed a chain of shared prompt parts.
    struct RememberedPart {
        BackendServerId server;
        std::vector<PrefixBlock> prefix;
        std::vector<Tokens> prefixTokens;
        MonotonicTime lastUsed;
    };
    struct Domain {
        std::list<RememberedPart> parts; // the most recently used at the back
        std::map<std::pair<PrefixBlock, BackendServerId>, std::list<RememberedPart>::iterator> partIndex;
        bool ownerKnowsParts = false;
        std::optional<InstanceId> owner;
        bool unresponsive = false; // the owner did not respond in time
        std::optional<MonotonicTime> resyncAt;
        Duration resyncDelay {};
        // For a domain that this instance owns:
        std::set<InstanceId> entries; // known to the dispatcher
        std::set<InstanceId> staleEntries; // whose state may be wrong at the dispatcher until their next resync
        std::optional<MonotonicTime> nextResyncRequest; // to the stale entries
    };

    explicit PlacementRouter(Options);

    void handleThreadMessage(const ThreadMessage&, MonotonicTime now);
    void handlePeerMessage(const PeerMessage&, MonotonicTime now);
    void handleEntryMessage(const InstanceId& from, const DomainId&, EntryMessage, MonotonicTime now);
    void handleDispatcherMessage(const InstanceId& from, const DomainId&, const DispatcherMessage&, MonotonicTime now);
    void handleGrant(const InstanceId& from, const DomainId&, Grant, MonotonicTime now);
    void handleRefusal(const InstanceId& from, const DomainId&, const Refusal&, MonotonicTime now);
    void handleMembersUpdated(const std::vector<Member>&, MonotonicTime now);
    void handlePeerLost(const InstanceId&, MonotonicTime now);

    Domain& domainOf(const DomainId&);
    void changeOwner(const DomainId&, Domain&, std::optional<InstanceId>, MonotonicTime now);
    void handleEntryLost(const InstanceId&, MonotonicTime now);
    void scheduleResyncRequest(Domain&, const InstanceId& entry, MonotonicTime);
    void requestResyncs(const DomainId&, Domain&, MonotonicTime now);
    void requestResync(const InstanceId& entry, const DomainId&);
    void scheduleResync(Domain&, MonotonicTime);
    void delayResync(Domain&, MonotonicTime now);
    void sendResync(const DomainId&, Domain&, MonotonicTime now);
    void markResponsive(const InstanceId& from, Domain&, MonotonicTime now);

    void sendToOwner(const DomainId&, EntryMessage);
    void sendTo(const InstanceId&, const DomainId&, EntryMessage);
    void returnGrant(const InstanceId& dispatcher, const DomainId&, const RequestId&, GrantId);
    // Sends a waiting request to its dispatcher, without the servers that take none from this instance.
    void requestServer(Request&, Domain&, MonotonicTime now);
    // Refuses the request if every server of its domain said that it takes none from this instance; returns whether.
    bool refuseUnavailable(const Request&, MonotonicTime now);
    // Returns a grant for a server that this instance knows to take no request from it, as the dispatcher does not, and
    // requests another one.
    void declineGrant(Request&, const Grant&, const InstanceId& from, MonotonicTime now);
    void recordGrant(Request&, const Grant&, const InstanceId& from, MonotonicTime now);
    // Ends the grants for servers that this instance knows to take no new requests, by whichever instance they were
    // given: their requests may not have been sent yet, or have to be sent again.
    void revokeOnClosedServers();
    void recordLimit(const Request&, const Progress&, MonotonicTime now);
    void clearGrant(Request&);
    static void rememberParts(Domain&, const Request&, const BackendServerId&, MonotonicTime now);
    void erase(const RequestId&);
    void setTimer(Request&);
    void awaitAcknowledgement(Request&, const Domain&, MonotonicTime now);
    void awaitAcknowledgements(const DomainId&, const Domain&, MonotonicTime now);
    void fireTimer(const RequestId&, MonotonicTime now);
    void placeLocally(Request&, MonotonicTime now);

    Options m_options;
    FallbackPlacer m_fallback;
    ServerSignals m_signals;
    std::mt19937_64 m_random;
    std::vector<RouterAction> m_actions;
    std::vector<Member> m_members;
    std::map<DomainId, Domain> m_domains;
    std::map<RequestId, Request> m_requests;
    std::set<std::pair<MonotonicTime, RequestId>> m_timers; // of waiting requests
    std::map<DomainId, std::size_t> m_placedLocally;
    std::uint64_t m_lastLocalGrant = 0;
    std::uint64_t m_resyncsSent = 0;
};

} // namespace lagoonspoke
