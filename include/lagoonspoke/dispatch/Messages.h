#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "lagoonspoke/core/Ids.h"
#include "lagoonspoke/core/Time.h"
#include "lagoonspoke/core/Units.h"

namespace lagoonspoke {

// Messages between an entry and the dispatcher of a domain. They are the same whether the dispatcher
// runs in this process or in another; times are remaining durations, as clocks are not shared.

// Asks for a backend server. Carries neither the body nor the caller's key.
struct PlaceRequest {
    RequestId request;
    DomainId domain;
    TeamId team;
    ClassName className;
    Tier tier;
    Tokens promptTokens; // estimate
    Tokens outputLimit; // the caller's limit; 0 when it gave none
    std::vector<PrefixBlock> prefix;
    // Tokens of each part of the prefix; empty when all blocks are of one size.
    std::vector<Tokens> prefixTokens = {};
    bool idempotent = true;
    Fingerprint fingerprint {};
    Duration remaining {}; // until the request's deadline
    Duration waited {}; // since the request's arrival at the entry
    int attempt = 1;
    std::vector<BackendServerId> excluded; // servers that failed this request
};

enum class FinishOutcome {
    Completed,
    CallerLeft,
    ServerFailed, // the server answered with an error or timed out
    ServerDied, // the connection broke while the request ran
    Aborted, // stopped by the entry: withdrawn key, deadline
    Declined, // the server said that it did not run the request: it is full or leaving
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
};

// The caller left or the deadline passed while the request was waiting.
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

// Where a shared part of prompts was read, so that a new dispatcher finds it again.
struct ReadPart {
    BackendServerId server;
    std::vector<PrefixBlock> prefix; // without the request's own part
    std::vector<Tokens> prefixTokens;
    Duration age {};
};

// Sent by an entry to a new dispatcher of the domain: everything it waits for and holds there.
struct Resync {
    InstanceId entry;
    DomainId domain;
    std::vector<PlaceRequest> waiting;
    std::vector<HeldGrant> held;
    std::vector<ReadPart> parts = {}; // the one used last at the end
};

struct Grant {
    RequestId request;
    GrantId grant;
    BackendServerId server;
    std::string address; // IP:port
    Duration expiry {}; // to start the request within
};

enum class RefusalCode {
    Overloaded, // no capacity for this tier before the deadline
    TeamLimit, // a limit of the team is reached
    QueueFull,
    DeadlineTooShort,
    Quarantined, // the request crashed backend servers
    NoServers, // the domain has no backend server
    NotOwner, // this instance does not run the domain's dispatcher
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

// Takes a grant back; the entry stops the attempt and asks again.
struct Revoke {
    RequestId request;
    GrantId grant;
    RevokeReason reason;
};

using EntryMessage = std::variant<PlaceRequest, Progress, Withdraw, Resync>;
using DispatcherMessage = std::variant<Grant, Refusal, Revoke>;

} // namespace lagoonspoke
