#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lagoonspoke/core/Ids.h"
#include "lagoonspoke/core/Time.h"
#include "lagoonspoke/core/Units.h"

namespace lagoonspoke {

// Object kinds of a configuration. Each is the "spec" of one named object in a change ticket.

struct TierSpec {
    Tier tier;
    // Share of a domain's token throughput that this tier gets while it has waiting work, 0 to 1.
    double guaranteedShare = 0.02;
    // Name of the tier's object in change tickets.
    std::string name = {};
};

struct ClassSpec {
    ClassName name;
    Tier tier;
    // Target for the time from a request's arrival to its first token.
    Duration firstTokenTarget = std::chrono::milliseconds(1700);
    // Target for the time between two tokens.
    Duration tokenGapTarget = std::chrono::milliseconds(28);
    // Callers leave a stream that has sent nothing for this time; zero when they wait until the deadline.
    Duration callerPatience {};
    // A request without an answer after this time is given up.
    Duration deadline = std::chrono::seconds(60);
    // Most requests of this class that may wait in one domain.
    int maxQueued = 1000;
};

struct TeamLimits {
    // Limits over all instances; absent means unlimited.
    std::optional<double> requestsPerSecond;
    std::optional<double> tokensPerSecond;
    std::optional<int> concurrent;
};

struct TeamSpec {
    TeamId name;
    // Comes before the tier of the class for this team's requests.
    std::optional<Tier> tier = {};
    // Share of a tier's capacity relative to other teams.
    double weight = 1;
    TeamLimits limits;
    std::vector<KeyDigest> keys;
    // Classes that the team may use; a request that names none gets the first.
    std::vector<ClassName> classes;
};

struct DeploymentSpec {
    TargetName name; // the model
    std::string version;
    std::vector<std::string> adapters;
    // Requests that one backend server runs at the same time.
    int slotsPerServer = 8;
    // Bounds over all data centres.
    int minServers = 0;
    int maxServers = 0;
    // Bounds in each data centre, for a platform that takes orders data centre by data centre; 0 means unbounded.
    int minServersPerDataCentre = 0;
    int maxServersPerDataCentre = 0;
    // Whether evictable servers may be ordered.
    bool allowCheap = true;
    // Price of an evictable server as a part of that of another one.
    double cheapPrice = 0.3;
    // Price of a server by data centre, relative to the others; 1 where none is given.
    std::map<DataCentreId, double> dataCentrePrices = {};
    // Time from an order until the server serves.
    Duration startTime = std::chrono::minutes(3);
    // Tokens that a server sends in one event of a stream.
    int tokensPerEvent = 1;
    // Tokens of running requests and cached prefixes that one backend server holds; 0 when unknown.
    Tokens memoryPerServer = {};
    Tokens contextLimit { 32768 };
    // Requests per second that a cold server tolerates, from all instances together; 0 for any number.
    double coldRequestsPerSecond = 0;
};

struct ServiceSpec {
    TargetName name;
    int slotsPerServer = 32;
    // See DeploymentSpec.
    double coldRequestsPerSecond = 0;
};

// Part of a route's requests that one target serves.
struct TargetShare {
    TargetName target;
    double weight = 1;
};

struct RouteSpec {
    std::string pathPrefix;
    // Host that the route is for; empty for every host.
    std::string host = {};
    TargetName service;
    // Splits the requests among targets in place of the service.
    std::vector<TargetShare> split = {};
    ClassName className;
    // Whether the target is a model, whose answers are streams of numbered events.
    bool streamed = false;
    // Whether a stream that broke may go on at another backend server.
    bool resumable = false;
    // Backend servers that one request may be sent to.
    int maxAttempts = 3;
    // Open to callers without a key.
    bool open = false;
    // Methods whose requests may be repeated on this route.
    std::vector<std::string> idempotentMethods = { "GET", "HEAD", "OPTIONS" };
};

// Time limits of every entry; an absent one leaves the limit to the settings of each daemon.
struct InstallationSpec {
    std::string name;
    std::optional<Duration> idleTimeout;
    std::optional<Duration> readTimeout;
    std::optional<Duration> writeTimeout;
    std::optional<Duration> grantTimeout;
    std::optional<Duration> connectTimeout;
    std::optional<Duration> firstByteTimeout;
    std::optional<Duration> tokenGapTimeout;
    std::optional<std::int64_t> maxHeaderBytes = {};
    std::optional<std::int64_t> maxBodyBytes = {};
};

// Whole configuration at one accepted ticket number. Immutable once built; shared between threads.
struct Configuration {
    std::uint64_t number = 0;
    std::map<Tier, TierSpec> tiers;
    std::map<ClassName, ClassSpec> classes;
    std::map<TeamId, TeamSpec> teams;
    std::map<TargetName, DeploymentSpec> deployments;
    std::map<TargetName, ServiceSpec> services;
    std::map<std::string, RouteSpec> routes;
    // At most one object of this kind exists.
    std::optional<InstallationSpec> installation = {};
};

} // namespace lagoonspoke
