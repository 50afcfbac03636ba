#pragma once

#include <cstdint>

#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// How a dispatcher decides. All but Lagoonspoke are baselines that measurements compare it with.
enum class DispatchPolicy {
    Lagoonspoke,
    Fifo, // one queue for all, first in first out
    RoundRobin, // grants at once, servers in turn
    PowerOfTwo, // grants at once, the less loaded of two random servers by their last load reports
};

struct DispatchOptions {
    DispatchPolicy policy = DispatchPolicy::Lagoonspoke;
    // Seed of the random choices of PowerOfTwo.
    std::uint64_t seed = 1;
    // Prefer servers in the entry's data centre.
    bool preferDataCentre = true;
    // Added to the predicted first token time of a server in another data centre: two round trips of 1 ms.
    Duration crossDataCentreCost = std::chrono::milliseconds(2);
    // A server that declined a request gets none for this time; it is about that of one short request.
    Duration declinedBackoff = std::chrono::milliseconds(100);
    // Streams whose class has this gap target or a shorter one are kept from long prompts; zero for none.
    Duration shortestGapTarget {};
    // Time to use a grant. A grant without any report by then is void.
    Duration grantExpiry = std::chrono::seconds(2);
    // After a takeover, nothing is refused for capacity for this time, as entries are still sending their state.
    Duration settlingPeriod = std::chrono::seconds(1);
    // Part of all slots that may be preempted in one second.
    double preemptionRate = 0.1;
    // Largest part of all slots that lower tiers leave free for bursts of higher ones.
    double largestReserve = 0.25;
    // Retries as a part of fresh requests.
    double retryBudget = 0.1;
    // Time that a quarantine and a suspicion last.
    Duration quarantineTime = std::chrono::minutes(10);
    // A floor that was not heard again for this time says nothing.
    Duration floorLifetime = std::chrono::seconds(3);
    // Mechanisms that measurements switch off one at a time.
    bool usePreemption = true;
    bool useReserve = true;
    bool useQuarantine = true;
    bool useMeasuredRate = true;
    bool usePrefixIndex = true;
};

} // namespace lagoonspoke
