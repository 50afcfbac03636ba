#pragma once

#include <optional>
#include <string>
#include <vector>

#include "lagoonspoke/core/Error.h"
#include "lagoonspoke/core/Ids.h"
#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// Addresses are IP:port; port 0 lets the kernel choose, and the "listening" log event names the choice.
struct DaemonSettings {
    InstanceId instance;
    DataCentreId dataCentre;
    RegionId region;
    std::string callerAddress;
    std::string adminAddress;
    std::string peerAddress;
    // Data centres of the region, among which backend servers are planned; this instance's own when empty.
    std::vector<DataCentreId> regionDataCentres;
    // 0 serves callers on the control thread.
    int trafficThreads = 1;
    // Processor share of this instance; dispatchers run on the largest instances.
    double cores = 1;
    // How dispatchers decide: "lagoonspoke", or a baseline that measurements compare it with: "fifo", "round-robin" or
    // "power-of-two".
    std::string dispatchPolicy = "lagoonspoke";
    // Object store and instance list of the platform; empty with a static configuration.
    std::string storeAddress;
    std::string instanceListAddress;
    // Whether instances find each other through objects in the store, in place of an instance list.
    bool instancesInStore = false;
    std::string usageAddress;
    std::string fleetAddress;
    std::string weightStoreAddress;
    // File with a whole configuration and a list of backend servers, for a single instance without a platform.
    std::string staticFile;

    std::int64_t maxHeaderBytes = 16 * 1024;
    std::int64_t maxBodyBytes = 8 * 1024 * 1024;
    std::int64_t maxConnections = 4096;
    // Descriptors that the process may open; callers' connections take at most half of them. 0 when unknown.
    std::int64_t maxDescriptors = 0;
    // Of a caller's input that is no part of a head or a body, such as trailers and lines of chunks.
    std::int64_t maxUnparsedBytes = 64 * 1024;
    // Of the requests of all callers that are held at the same time, for each traffic thread.
    std::int64_t maxHeldRequestBytes = 32 << 20;
    // Time in which a body that is being read has to make progress; later it gives way to others.
    Duration bodyStallBound = std::chrono::seconds(1);
    Duration idleTimeout = std::chrono::seconds(60);
    Duration readTimeout = std::chrono::seconds(10);
    Duration writeTimeout = std::chrono::seconds(10);
    Duration grantTimeout = std::chrono::seconds(30);
    Duration connectTimeout = std::chrono::milliseconds(500);
    Duration firstByteTimeout = std::chrono::seconds(30);
    Duration tokenGapTimeout = std::chrono::seconds(5);
    // Time between readiness going false and the listener closing, for the balancer to notice.
    Duration shutdownDelay = std::chrono::seconds(2);
    // Time from the signal to end until the process is killed; absent when nothing kills it.
    std::optional<Duration> shutdownGrace;
    Duration usageWindow = std::chrono::seconds(60);
    // Whether a backend server's answer without a length may end with its connection.
    bool acceptsUnframedAnswers = false;
    // Whether requests that run go on when their key is withdrawn.
    bool finishesWithdrawnRequests = false;
    // Whether usage counts a request when its answer begins, instead of its tokens at the end.
    bool countsUsageAtStart = false;
    // Whether a caller's connection without a request in time gets an error before it closes.
    bool answersIdleTimeout = true;
    // Longest time for which an order may still be on its way, and the term of a lease on them.
    Duration leaseTerm = std::chrono::seconds(10);
    // At this interval backend servers renew the entries that they keep in the store themselves.
    Duration serverHeartbeat = std::chrono::milliseconds(1200);
    // Time from the end of a usage window until its report is due.
    Duration usageReportBound = std::chrono::seconds(10);
    // Whether servers that start or recover get their load step by step.
    bool pacesRecoveringServers = false;
    // Backend servers that are kept for each one that the mean load keeps busy. Bursts of three times the mean come
    // sooner than new servers start.
    double capacityHeadroom = 3;
    // Whether operators may evacuate data centres through the store.
    bool watchesEvacuations = false;
    // Requests that a cold backend server may get in any one second, from all instances together: the factor times what
    // it tolerates by the configuration, and the slack. Cold servers are not treated separately without a factor.
    std::optional<double> coldRateFactor = {};
    double coldRateSlack = 0;
};

// Copies what can change while the daemon runs: the limits of callers' connections, and times.
void copyLimits(const DaemonSettings& from, DaemonSettings& to);

// Reads and checks a settings file's text whole; on failure gives every mistake.
tl::expected<DaemonSettings, std::vector<Error>> parseDaemonSettings(std::string_view text);

} // namespace lagoonspoke
