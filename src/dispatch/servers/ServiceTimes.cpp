#include "dispatch/servers/ServiceTimes.h"

#include <algorithm>

namespace lagoonspoke {

namespace {

// Weight of the newest sample. Averages over some tens of requests, as their lengths differ widely.
constexpr double weightOfNewest = 0.03;
// Samples are limited to this multiple of the mean, so that a few requests on a slow engine do not double the
// predictions for all others.
constexpr double maxSampleRatio = 4;

double find(const auto& means, const auto& key, double fallback)
{
    auto it = means.find(key);
    return it == means.end() ? fallback : it->second;
}

} // namespace

void ServiceTimes::update(double& mean, double sample)
{
    mean += weightOfNewest * (sample - mean);
}

void ServiceTimes::recordSlotTime(const ClassName& className, Tier tier, Duration time, Tokens output)
{
    double seconds
        = m_sampleCount > 0 ? std::min(toSeconds(time), maxSampleRatio * m_meanSlotSeconds) : toSeconds(time);
    if (output.count > 0) {
        update(m_timePerOutputToken,
            std::min(toSeconds(time) / static_cast<double>(output.count), maxSampleRatio * m_timePerOutputToken));
    }
    // The first samples form an arithmetic mean; otherwise the initial value would have an effect for a hundred
    // requests.
    ++m_sampleCount;
    m_meanSlotSeconds += std::max(weightOfNewest, 1.0 / m_sampleCount) * (seconds - m_meanSlotSeconds);
    update(m_slotSecondsByClass.try_emplace(className, m_meanSlotSeconds).first->second, seconds);
    update(m_slotSecondsByTier.try_emplace(tier, m_meanSlotSeconds).first->second, seconds);
}

void ServiceTimes::recordFirstToken(Duration time)
{
    update(m_firstToken, toSeconds(time));
}

void ServiceTimes::recordPromptWork(const ClassName& className, Tier tier, double tokens)
{
    update(m_meanPromptWork, tokens);
    update(m_promptWorkByClass.try_emplace(className, tokens).first->second, tokens);
    update(m_promptWorkByTier.try_emplace(tier, tokens).first->second, tokens);
}

double ServiceTimes::meanPromptWorkOf(const ClassName& className) const
{
    return find(m_promptWorkByClass, className, m_meanPromptWork);
}

double ServiceTimes::meanPromptWorkOf(Tier tier) const
{
    return find(m_promptWorkByTier, tier, m_meanPromptWork);
}

double ServiceTimes::meanSlotSecondsOf(const ClassName& className) const
{
    return find(m_slotSecondsByClass, className, m_meanSlotSeconds);
}

double ServiceTimes::meanSlotSecondsOf(Tier tier) const
{
    return find(m_slotSecondsByTier, tier, m_meanSlotSeconds);
}

} // namespace lagoonspoke
