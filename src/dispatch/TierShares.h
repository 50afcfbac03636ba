#pragma once

#include <map>

#include "dispatch/ArrivalMeter.h"
#include "lagoonspoke/config/Configuration.h"

namespace lagoonspoke {

// Keeps each tier's guaranteed token share and the reserve that lower tiers leave free for higher ones. A tier with
// recent demand earns its share of all tokens granted in the domain and spends it on grants out of the strict order.
// Owned by a dispatcher.
class TierShares {
public:
    void configure(const std::map<Tier, TierSpec>&);

    void noteArrival(Tier, MonotonicTime now);
    // The tier has waiting requests now.
    void noteWaiting(Tier, MonotonicTime now);
    // Tokens granted in the domain, to whichever tier: the tiers with demand earn their share.
    void noteGranted(std::int64_t tokens, MonotonicTime now);
    // Charges tokens to the tier's credit; negative ones settle an earlier charge. Ordinary grants use credit up as
    // well, but only grants out of the strict order leave a debt.
    void spend(Tier, std::int64_t tokens, bool guaranteed);
    // Whether the tier may have a slot of the given cost out of the strict order.
    bool hasCredit(Tier, std::int64_t cost) const;

    // Tokens that the guaranteed share alone brings the tier in the given time, with the credit it has.
    double guaranteedTokens(Tier, double seconds, MonotonicTime now);

    // Slots that the tier leaves free for bursts of the tiers above it.
    int reservedSlots(Tier, int slots, double largestPart, MonotonicTime now);
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
