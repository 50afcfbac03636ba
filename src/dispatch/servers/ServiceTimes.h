#pragma once

#include <map>

#include "lagoonspoke/core/Ids.h"
#include "lagoonspoke/core/Time.h"
#include "lagoonspoke/core/Units.h"

namespace lagoonspoke {

// Moving averages of the time that requests occupy a slot and of their prompt work, by class and tier, and of the time
// to the first token.
// Owned by a dispatcher.
class ServiceTimes {
public:
    void recordSlotTime(const ClassName&, Tier, Duration, Tokens output);
    void recordFirstToken(Duration);
    // Uncached prompt tokens that the server has to read for a granted request.
    void recordPromptWork(const ClassName&, Tier, double tokens);

    // Whether enough requests have finished to predict waiting times.
    bool hasEnoughSamples() const { return m_sampleCount >= 8; }
    double meanSlotSecondsOf(const ClassName&) const;
    double meanSlotSecondsOf(Tier) const;
    double meanSlotSeconds() const { return m_meanSlotSeconds; }
    // Mean number of uncached prompt tokens that a server has to read for a request.
    double meanPromptWorkOf(const ClassName&) const;
    double meanPromptWorkOf(Tier) const;
    // Upper estimate of the time to the first token, which most requests stay below.
    Duration firstToken() const { return fromSeconds(m_firstToken * 1.5); }
    // Mean time for one output token.
    Duration timePerOutputToken() const { return fromSeconds(m_timePerOutputToken); }

private:
    static void update(double& mean, double sample);

    int m_sampleCount = 0;
    double m_meanSlotSeconds = 1; // initial value until the first request finishes
    double m_firstToken = 0.1;
    double m_timePerOutputToken = 0.028; // the design's 95th percentile, until measured
    std::map<ClassName, double> m_slotSecondsByClass;
    std::map<Tier, double> m_slotSecondsByTier;
    double m_meanPromptWork = 0; // of all requests; used for a class or tier without samples
    std::map<ClassName, double> m_promptWorkByClass;
    std::map<Tier, double> m_promptWorkByTier;
};

} // namespace lagoonspoke
