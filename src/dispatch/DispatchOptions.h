#pragma once

#include <cstdint>

#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// How a dispatcher decides. All but Lagoonspoke are baselines for measurements.
enum class DispatchPolicy {
    Lagoonspoke,
    Fifo, // one queue for all, first in first out
    RoundRobin, // grants at once, cycling through the servers
    PowerOfTwo, // grants at once; of two random servers, the one with the lower last reported load
};

struct DispatchOptions {
    DispatchPolicy policy = DispatchPolicy::Lagoonspoke;
    // Seed of the random choices of PowerOfTwo.
    std::uint64_t seed = 1;
    // Prefer servers in the entry's data centre.
    bool preferDataCentre = true;
    // Added to the predicted time to first token of a server in another data centre: two round trips of 1 ms.
    Duration crossDataCentreCost = std::chrono::milliseconds(2);
    // A server that declined a request gets no further one for this time, which is about that of one short request.
    Duration declinedBackoff = std::chrono::milliseconds(100);
    // Streams whose class has this token gap target or a shorter one are kept separate from long prompts; zero
    // disables this.
    Duration shortestGapTarget {};
    // Tokens in one event of a stream.
    int tokensPerEvent = 1;
    // Time within which an entry must start a granted request. A grant without any report expires shortly after it.
    Duration grantExpiry = std::chrono::seconds(2);
    // For this time after a takeover, no request is refused for lack of capacity, as entries are still sending their
    // state.
    Duration settlingPeriod = std::chrono::seconds(1);
    // Fraction of all slots that may be preempted per second.
    double preemptionRate = 0.1;
    // Largest fraction of all slots that lower tiers leave free for bursts of higher ones.
    double largestReserve = 0.25;
    // Retries allowed, as a fraction of first attempts.
    double retryBudget = 0.1;
    // The first quarantine of a request or a prompt part. Each further one lasts twice as long, up to the longest.
    Duration shortestQuarantine = std::chrono::seconds(30);
    // Also how long a request or part stays suspect.
    Duration longestQuarantine = std::chrono::minutes(10);
    // A peer's floor expires if it is not received again within this time.
    Duration floorLifetime = std::chrono::seconds(3);
    // Whether servers that start or recover get their load step by step; see ServerPace.
    bool pacesRecoveringServers = false;
    // Mechanisms that ablation measurements switch off one at a time.
    bool usePreemption = true;
    bool useReserve = true;
    bool useQuarantine = true;
    bool useMeasuredRate = true;
    bool usePrefixIndex = true;
};

} // namespace lagoonspoke
