#pragma once

#include <map>

#include "lagoonspoke/core/Ids.h"
#include "lagoonspoke/core/Time.h"
#include "lagoonspoke/core/Units.h"

namespace lagoonspoke {

// Recent mean times that requests hold a slot, by class and tier, and the recent time to the first token.
// Owned by a dispatcher.
class ServiceTimes {
public:
    void recordHeld(const ClassName&, Tier, Duration, Tokens output);
    void recordFirstToken(Duration);
    // Unread prompt of a granted request, in prompt tokens.
    void recordPromptWork(const ClassName&, Tier, double tokens);

    // Whether enough requests finished to predict waiting times.
    bool isKnown() const { return m_recorded >= 8; }
    double secondsOf(const ClassName&) const;
    double secondsOf(Tier) const;
    double seconds() const { return m_all; }
    // Recent mean of the prompt that a request leaves a server to read, in prompt tokens.
    double promptWorkOf(const ClassName&) const;
    double promptWorkOf(Tier) const;
    // A time to the first token that most requests stay under.
    Duration firstToken() const { return fromSeconds(m_firstToken * 1.5); }
    // Recent mean time for one output token.
    Duration perToken() const { return fromSeconds(m_perToken); }

private:
    static void update(double& mean, double sample);

    int m_recorded = 0;
    double m_all = 1; // before the first request finished
    double m_firstToken = 0.1;
    double m_perToken = 0.028; // the design's 95th percentile, until measured
    std::map<ClassName, double> m_byClass;
    std::map<Tier, double> m_byTier;
    double m_promptWork = 0; // of all requests, before the first one of a class
    std::map<ClassName, double> m_promptWorkByClass;
    std::map<Tier, double> m_promptWorkByTier;
};

} // namespace lagoonspoke
