#pragma once

#include <algorithm>
#include <optional>
#include <set>

#include "dispatch/servers/ColdRateLimit.h"
#include "dispatch/servers/PrefixCache.h"
#include "dispatch/servers/PrefixIndex.h"
#include "dispatch/servers/RejectionGuard.h"
#include "dispatch/servers/RequestLimiter.h"
#include "dispatch/servers/ServerHealth.h"
#include "dispatch/servers/ServerPace.h"
#include "lagoonspoke/dispatch/BackendServer.h"

namespace lagoonspoke {

// A dispatcher's view of one backend server: primarily from its own grants, and from load reports where these are
// newer. Owned by the ServerPool.
class ServerState {
public:
    explicit ServerState(BackendServer);

    // A request got its first byte after the given time. The work includes that of the prompts ahead of it.
    void recordFirstByte(Duration time, double work, int inFlightAtGrant, MonotonicTime now);
    // Adds or removes a request that waits for its first byte, identified by the time of its grant.
    void addAwaitingFirstByte(MonotonicTime grantedAt, double promptWork);
    void removeAwaitingFirstByte(MonotonicTime grantedAt, double promptWork);
    // Seconds for one prompt token that a request's first byte shows; the measure of recordFirstByte().
    double sampleOf(Duration time, double work, int inFlightAtGrant) const;
    // A running request produced tokens during the given time.
    void recordTokens(std::int64_t tokens, Duration time, MonotonicTime now);
    // Corrects the token rate from a report that is newer than every observation of this dispatcher.
    void recordLoadReport(int running, double tokensPerSecond, Duration age, MonotonicTime now);

    // The server declined a request because it is full with work that this dispatcher does not know of.
    void recordDeclined(MonotonicTime now)
    {
        m_declinedAt = now;
        rejections.recordRejection(now);
    }
    // Whether the server's limits leave room for a request.
    bool isWithinLimits(MonotonicTime now)
    {
        return limit.hasRoom(now) && coldLimit.hasRoom(now) && rejections.hasRoom(1, now);
    }
    // Time until the limits leave room for a request that comes after the given number of others.
    Duration waitForLimits(int others, MonotonicTime now)
    {
        return std::max(limit.waitBehind(others, now), coldLimit.waitBehind(others, now));
    }
    bool isCold(MonotonicTime now) const { return now < server.coldUntil; }
    bool declinedSince(MonotonicTime time) const { return m_declinedAt && *m_declinedAt > time; }

    // The server is a model engine whose prompt parts are known, so its time to the first byte measures how fast it
    // reads prompts. The given rate is assumed until the first observation.
    void configureAsPromptEngine(double secondsPerPromptToken);
    bool isMeasured() const { return m_measured; }

    // Seconds to the first byte for one uncached prompt token on an otherwise empty server.
    double secondsPerPromptToken() const { return m_secondsPerPromptToken; }
    // Mean time to the first byte in seconds, whatever the work; 0 before the first observation.
    double firstByteSeconds() const { return m_firstByteSeconds; }
    // Tokens per second of one request; empty before the first observation.
    std::optional<double> tokenRate() const { return m_tokenRate; }
    MonotonicTime newestObservation() const { return m_newestObservation; }
    // Whether the server takes a request now: a slot is free, and its request limit leaves room.
    bool hasFreeSlot() const { return inFlight < usableSlots && !limitReached; }
    // Whether the server takes a request that shows whether it works again after its ejection.
    bool isProbeDue(MonotonicTime now) const { return health.isProbeDue(now) && !limitReached; }

    BackendServer server;
    int inFlight = 0;
    // Slots that may be used: the server's limit, or fewer when it is slow.
    int usableSlots = 0;
    // Slots that requests keep busy at most: the usable ones, or fewer when the request limit is reached before.
    double sustainedSlots = 0;
    bool limitReached = false; // the limits leave no room in the current scheduler run
    bool slow = false;
    bool isolated = false; // reserved for a suspect request, or running one
    bool runsSuspect = false;
    ServerHealth health;
    ServerPace pace;
    RequestLimiter limit;
    ColdRateLimit coldLimit;
    RejectionGuard rejections;
    PrefixIndex prefix; // from the engine's cache events
    PrefixCache cache; // from the prompts sent to the engine
    int gapSensitive = 0; // requests in flight whose class has a short gap target
    double pendingWork = 0; // prompt work of requests without a first byte
    int promisedSlots = 0; // requests that wait for a slot of this server in the current scheduler run
    double promisedWork = 0; // prompt work of requests that wait for this server in the current scheduler run
    std::multiset<MonotonicTime> awaitingFirstByte; // grant times of requests without a first byte
    std::optional<MonotonicTime> diedAt; // grants made up to then ended with the server's death
    std::optional<MonotonicTime> disconnectedAt; // the last connection that broke by itself and ejected the server
    int runningAtDeath = 0; // other requests in flight when the first one reported the death
    MonotonicTime lastSlowTrial {};

private:
    double m_secondsPerPromptToken;
    bool m_measured = false;
    bool m_isPromptEngine = false;
    double m_firstByteSeconds = 0;
    std::optional<double> m_tokenRate;
    MonotonicTime m_newestObservation {};
    std::optional<MonotonicTime> m_declinedAt;
};

} // namespace lagoonspoke
