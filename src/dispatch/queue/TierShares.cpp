#include "dispatch/queue/TierShares.h"

#include <algorithm>
#include <cmath>

namespace lagoonspoke {

namespace {

// A tier has demand for this long after a request last arrived or waited: when its requests are refused at once, none
// are waiting, but the tier must still earn its share.
constexpr Duration demandWindow = std::chrono::seconds(10);
// Limits the credit that a tier can accumulate, so that it does not claim many slots at once. Ordinary grants use
// credit but leave no debt: a debt would block the tier for minutes while higher tiers need all capacity.
constexpr double maxCredit = 8192;
// Time constant of the average rate of granted tokens.
constexpr double rateTimeConstantSeconds = 5;

} // namespace

void TierShares::configure(const std::map<Tier, TierSpec>& specs)
{
    m_specs = specs;
    for (auto& [tier, share] : m_shares) {
        auto it = specs.find(tier);
        share.guaranteed = it == specs.end() ? TierSpec {}.guaranteedShare : it->second.guaranteedShare;
    }
}

void TierShares::recordArrival(Tier tier, MonotonicTime now)
{
    auto [it, created] = m_shares.try_emplace(tier);
    if (auto spec = m_specs.find(tier); created && spec != m_specs.end()) {
        it->second.guaranteed = spec->second.guaranteedShare;
    }
    it->second.lastDemand = now;
    it->second.arrivals.recordArrival(now);
}

void TierShares::recordWaiting(Tier tier, MonotonicTime now)
{
    if (auto it = m_shares.find(tier); it != m_shares.end()) {
        it->second.lastDemand = now;
    }
}

void TierShares::recordGranted(std::int64_t tokens, MonotonicTime now)
{
    updateRate(now);
    m_tokensPerSecond += static_cast<double>(tokens) / rateTimeConstantSeconds;
    for (auto& [tier, share] : m_shares) {
        if (now - share.lastDemand < demandWindow) {
            share.credit = std::min(maxCredit, share.credit + share.guaranteed * static_cast<double>(tokens));
        } else {
            share.credit = 0;
        }
    }
}

void TierShares::spend(Tier tier, std::int64_t tokens, bool guaranteed)
{
    auto it = m_shares.find(tier);
    if (it == m_shares.end()) {
        return;
    }
    auto& credit = it->second.credit;
    auto remaining = credit - static_cast<double>(tokens);
    if (guaranteed) {
        credit = std::clamp(remaining, -maxCredit, maxCredit);
    } else if (tokens > 0) {
        credit = std::max(remaining, std::min(credit, 0.0));
    }
}

bool TierShares::hasCredit(Tier tier, std::int64_t cost) const
{
    auto it = m_shares.find(tier);
    return it != m_shares.end() && it->second.credit >= std::min(maxCredit, static_cast<double>(cost));
}

void TierShares::updateRate(MonotonicTime now)
{
    if (now > m_rateUpdated) {
        m_tokensPerSecond *= std::exp(-toSeconds(now - m_rateUpdated) / rateTimeConstantSeconds);
        m_rateUpdated = now;
    }
}

double TierShares::guaranteedTokens(Tier tier, double seconds, MonotonicTime now)
{
    auto it = m_shares.find(tier);
    if (it == m_shares.end()) {
        return 0;
    }
    updateRate(now);
    return it->second.credit + it->second.guaranteed * m_tokensPerSecond * std::max(0.0, seconds);
}

int TierShares::reservedSlots(Tier tier, int slots, double maxFraction, MonotonicTime now)
{
    double reserved = 0;
    for (auto& [higher, share] : m_shares) {
        if (higher.isHigherThan(tier)) {
            reserved += share.arrivals.expectedBurst(now);
        }
    }
    return static_cast<int>(std::min(std::ceil(reserved), std::floor(maxFraction * slots)));
}

double TierShares::arrivalsPerSecond(Tier tier, MonotonicTime now)
{
    auto it = m_shares.find(tier);
    return it == m_shares.end() ? 0 : it->second.arrivals.meanRate(now);
}

double TierShares::higherArrivalsPerSecond(Tier tier, MonotonicTime now)
{
    double sum = 0;
    for (auto& [higher, share] : m_shares) {
        if (higher.isHigherThan(tier)) {
            sum += share.arrivals.meanRate(now);
        }
    }
    return sum;
}

} // namespace lagoonspoke
