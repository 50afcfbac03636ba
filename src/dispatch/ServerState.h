#pragma once

#include <optional>
#include <set>

#include "dispatch/PrefixCache.h"
#include "dispatch/PrefixIndex.h"
#include "dispatch/ServerHealth.h"
#include "lagoonspoke/dispatch/BackendServer.h"

namespace lagoonspoke {

// What a dispatcher knows about one backend server, from its own grants first and from load reports second.
// Owned by the ServerPool.
class ServerState {
public:
    explicit ServerState(BackendServer);

    // A request had its first byte after the given time; the work is its own and that of prompts in front of it.
    void noteFirstByte(Duration time, double work, int inFlightAtGrant, MonotonicTime now);
    // A request without a first byte yet, by the time of its grant.
    void addAwaiting(MonotonicTime grantedAt, double promptWork);
    void removeAwaiting(MonotonicTime grantedAt, double promptWork);
    // A running request got tokens for a time.
    void noteTokens(std::int64_t tokens, Duration time, MonotonicTime now);
    // Corrects the token rate from a report that is newer than every observation of this dispatcher.
    void noteReport(int running, double tokensPerSecond, Duration age, MonotonicTime now);

    // The server declined a request, as it is full of work that this dispatcher does not know of.
    void noteDeclined(MonotonicTime now) { m_declinedAt = now; }
    bool declinedSince(MonotonicTime time) const { return m_declinedAt && *m_declinedAt > time; }

    // The server is a model engine whose prompts are known part by part, so that the time of its first byte measures
    // how fast it reads; until the first observation it is taken to be that fast.
    void assumePromptEngine(double secondsPerPromptToken);
    bool isMeasured() const { return m_measured; }

    // Seconds to the first byte for one uncached prompt token on an otherwise empty server.
    double secondsPerPromptToken() const { return m_secondsPerPromptToken; }
    // Tokens per second of one request; empty before the first observation.
    std::optional<double> tokenRate() const { return m_tokenRate; }
    MonotonicTime newestObservation() const { return m_newestObservation; }
    bool hasFreeSlot() const { return inFlight < usableSlots; }

    BackendServer server;
    int inFlight = 0;
    // Slots in use of the engine's limit; fewer when it is slow.
    int usableSlots = 0;
    bool slow = false;
    bool isolated = false; // kept free for a suspect request, or running one
    bool runsSuspect = false;
    ServerHealth health;
    PrefixIndex prefix; // by the engine's cache events
    PrefixCache cache; // by what was sent to the engine
    int gapSensitive = 0; // requests in flight whose class has a short gap target
    double pendingWork = 0; // prompt work of requests without a first byte
    double promisedWork = 0; // prompt work of waiting requests that suit this server best, in the current run
    std::multiset<MonotonicTime> awaitingFirstByte; // grant times of requests without a first byte
    std::optional<MonotonicTime> diedAt; // grants up to then ended with the death
    int runningAtDeath = 0; // requests beside the first one that reported it
    MonotonicTime lastSlowTrial {};

private:
    double m_secondsPerPromptToken;
    bool m_measured = false;
    bool m_knowsPrompts = false;
    std::optional<double> m_tokenRate;
    MonotonicTime m_newestObservation {};
    std::optional<MonotonicTime> m_declinedAt;
};

} // namespace lagoonspoke
