#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "lagoonspoke/core/Ids.h"
#include "lagoonspoke/core/Time.h"
#include "lagoonspoke/core/Units.h"

namespace lagoonspoke {

// Messages between an entry and the dispatcher of a domain. They are the same whether the dispatcher runs in this
// process or in another. Times are sent as remaining durations, because instances have no common clock.

// Requests a backend server. Carries neither the request's body nor the caller's API key.
struct PlaceRequest {
    RequestId request;
    DomainId domain;
    TeamId team;
    ClassName className;
    Tier tier;
    Tokens promptTokens; // estimate
    Tokens outputLimit; // set by the caller; 0 if it set none
    std::vector<PrefixBlock> prefix;
    // Tokens of each part of the prefix; empty if all blocks have the same size.
    std::vector<Tokens> prefixTokens = {};
    bool idempotent = true;
    Fingerprint fingerprint {};
    Duration remaining {}; // until the request's deadline
    Duration waited {}; // since the request's arrival at the entry
    int attempt = 1;
    std::vector<BackendServerId> excluded; // servers that failed this request
    // The prompt's shared parts, each by itself; empty if the caller does not name them.
    std::vector<Fingerprint> parts = {};
    // The only version of servers that may run the request: it continues a stream that was begun at this version.
    std::optional<SoftwareVersion> softwareVersion = {};
};

enum class FinishOutcome {
    Completed,
    CallerLeft,
    ServerFailed, // the server responded with an error or timed out
    ServerDied, // the connection broke while the request ran, and the server takes no new one
    Aborted, // stopped by the entry, because of a withdrawn key or the deadline
    Declined, // the server did not run the request, because it is full or leaving
    Disconnected, // the connection broke, which does not show that the server died
};

// What a server's answer says of further requests from the instance that received it.
struct ServerSignal {
    bool leaves = false; // it ends soon and takes no new requests
    Duration pause {}; // it takes no request for that time
};

// What the entry observed of a granted request since its last report.
struct Progress {
    RequestId request;
    GrantId grant {};
    DomainId domain;
    bool firstByteSeen = false;
    Duration timeToFirstByte {};
    Tokens outputTokens; // total so far
    bool finished = false;
    FinishOutcome outcome = FinishOutcome::Completed;
    Tokens promptTokens; // as counted by the server; with finished only
    // Whether the server's answer showed its limits, or that it has none.
    bool limitSeen = false;
    std::optional<RequestRate> limit = {}; // for the requests of all instances together
    // More requests in a second that the server has to reject, from all instances together, and it fails.
    std::optional<RequestRate> rejectionLimit = {};
    // Concerns this instance alone, so it is not sent to dispatchers of others.
    std::optional<ServerSignal> signal = {};
};

// Sent when the caller left or the deadline passed while the request was waiting.
struct Withdraw {
    RequestId request;
    DomainId domain;
};

struct HeldGrant {
    PlaceRequest request;
    GrantId grant;
    BackendServerId server;
    Tokens outputTokens;
};

// A server that has read (prefilled) a prompt prefix, so that a new dispatcher can route to its cache again.
struct ReadPart {
    BackendServerId server;
    std::vector<PrefixBlock> prefix; // without the request's own part
    std::vector<Tokens> prefixTokens;
    Duration age {};
};

// A limit of requests, or of rejections, that an entry knows of, so that a new dispatcher keeps to it from the start.
struct KnownLimit {
    BackendServerId server;
    RequestRate limit;
    Duration age {}; // since an answer named it last
};

// Sent by an entry to a new dispatcher of the domain: all its waiting requests and active grants there.
struct Resync {
    InstanceId entry;
    DomainId domain;
    std::vector<PlaceRequest> waiting;
    std::vector<HeldGrant> held;
    std::vector<ReadPart> parts = {}; // least recently used first
    std::vector<KnownLimit> limits = {};
    std::vector<KnownLimit> rejectionLimits = {};
};

struct Grant {
    RequestId request;
    GrantId grant;
    BackendServerId server;
    std::string address; // IP:port
    Duration expiry {}; // time within which the request must be started
    SoftwareVersion softwareVersion = {}; // of the server
};

enum class RefusalCode {
    Overloaded, // no capacity for this tier before the deadline
    TeamLimit, // the team has reached one of its limits
    QueueFull,
    DeadlineTooShort,
    Quarantined, // the request, or a part of its prompt, crashed backend servers
    NoServers, // the domain has no backend server
    NotOwner, // this instance does not run the domain's dispatcher
    VersionGone, // no server has the software version that began the stream
};

std::string_view toString(RefusalCode);

struct Refusal {
    RequestId request;
    RefusalCode code;
    Duration retryAfter {};
};

enum class RevokeReason {
    Preempted,
    ServerLeaving,
};

// Revokes a grant. If it was preempted, the entry stops the attempt and requests a server again. A leaving server goes
// on serving what was sent to it, so an attempt that waits for its answer goes on, but is not sent to that server
// again.
struct Revoke {
    RequestId request;
    GrantId grant;
    RevokeReason reason;
};

using EntryMessage = std::variant<PlaceRequest, Progress, Withdraw, Resync>;
using DispatcherMessage = std::variant<Grant, Refusal, Revoke>;

} // namespace lagoonspoke
