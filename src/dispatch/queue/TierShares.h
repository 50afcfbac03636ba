#pragma once

#include <map>

#include "dispatch/queue/ArrivalMeter.h"
#include "lagoonspoke/config/Configuration.h"

namespace lagoonspoke {

// Accounts for each tier's guaranteed token share and computes the reserve that lower tiers leave free for higher ones.
// A tier with recent demand earns its share of all tokens granted in the domain as credit, and spends it on guaranteed
// grants: those that bypass the strict order of tiers. Owned by a dispatcher.
class TierShares {
public:
    void configure(const std::map<Tier, TierSpec>&);

    void recordArrival(Tier, MonotonicTime now);
    // The tier has waiting requests now.
    void recordWaiting(Tier, MonotonicTime now);
    // Tokens were granted to some tier of the domain: credits each tier with recent demand its share of them.
    void recordGranted(std::int64_t tokens, MonotonicTime now);
    // Charges the tokens of a grant to the tier's credit. Ordinary grants use up credit as well, but only guaranteed
    // ones leave a debt. A negative amount refunds an earlier guaranteed charge and is ignored for ordinary grants.
    void spend(Tier, std::int64_t tokens, bool guaranteed);
    // Whether the tier's credit covers a guaranteed grant of the given cost.
    bool hasCredit(Tier, std::int64_t cost) const;

    // Tokens that the tier can expect within the given time from its credit and its guaranteed share alone.
    double guaranteedTokens(Tier, double seconds, MonotonicTime now);

    // Slots that the tier leaves free for bursts of the tiers above it, at most the given fraction of all slots.
    int reservedSlots(Tier, int slots, double maxFraction, MonotonicTime now);
    double arrivalsPerSecond(Tier, MonotonicTime now);
    // Arrivals per second of all tiers above the given one.
    double higherArrivalsPerSecond(Tier, MonotonicTime now);

private:
    struct Share {
        double guaranteed = TierSpec {}.guaranteedShare;
        double credit = 0;
        MonotonicTime lastDemand {};
        ArrivalMeter arrivals;
    };

    std::map<Tier, Share> m_shares;
    void updateRate(MonotonicTime now);

    std::map<Tier, TierSpec> m_specs;
    double m_tokensPerSecond = 0; // granted in the domain recently
    MonotonicTime m_rateUpdated {};
};

} // namespace lagoonspoke
