#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "lagoonspoke/core/Ids.h"
#include "lagoonspoke/core/Time.h"
#include "lagoonspoke/core/Units.h"

namespace lagoonspoke {

// Histograms and counters of requests by class and team. Owned by the daemon and shared by all threads.
// The first 50 teams have series of their own and the others share team="other", so that the size of a scrape is
// bounded; requests on routes open to all have team="none".
class RequestMetrics {
public:
    // The series of one class and team; valid as long as the RequestMetrics. Durations are recorded in seconds.
    struct Series {
        prometheus::Histogram& queue; // waiting for a grant
        prometheus::Histogram& firstToken; // from the request's arrival
        prometheus::Histogram& tokenGap; // between two tokens
        prometheus::Histogram& total; // from the request's arrival to the end of its response
        prometheus::Counter& wastedTokens; // output tokens of responses that did not complete
        std::string className;
        std::string team;
    };

    explicit RequestMetrics(prometheus::Registry&);

    Series& seriesOf(const ClassName&, const TeamId&);
    void countOutcome(const Series&, std::string_view code);
    // Counts a request that was refused before its team and class were known.
    void countUnknown(std::string_view code);
    // Counts bytes of a stream that are no event of it.
    void countStreamFault(std::string_view fault);
    // Counts a caller's connection or request that reached a limit which ordinary callers do not reach.
    void countCallerLimit(std::string_view limit);
    // Counts a stream that a caller takes up, by where the version that began it is known from.
    void countStreamTakeUp(std::string_view knownFrom);

private:
    std::string labelOf(const TeamId&);

    prometheus::Family<prometheus::Histogram>& m_queue;
    prometheus::Family<prometheus::Histogram>& m_firstToken;
    prometheus::Family<prometheus::Histogram>& m_tokenGap;
    prometheus::Family<prometheus::Histogram>& m_total;
    prometheus::Family<prometheus::Counter>& m_wastedTokens;
    prometheus::Family<prometheus::Counter>& m_outcomes;
    prometheus::Family<prometheus::Counter>& m_streamFaults;
    prometheus::Family<prometheus::Counter>& m_streamTakeUps;
    prometheus::Family<prometheus::Counter>& m_callerLimits;
    std::mutex m_mutex;
    std::set<TeamId> m_teams;
    std::map<std::pair<ClassName, std::string>, std::unique_ptr<Series>> m_series;
};

} // namespace lagoonspoke
