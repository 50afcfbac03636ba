#pragma once

#include <map>
#include <string>

#include <boost/histogram.hpp>
#include <boost/json.hpp>

#include "tools/client/StreamingCall.h"
#include "tools/load/ArrivalPlan.h"

namespace lagoonspoke {

// Durations in milliseconds on a logarithmic axis from 0.01 ms to 1000 s with a resolution of about 2%.
class DurationHistogram {
public:
    DurationHistogram();
    void record(Duration);
    // The upper bound, in milliseconds, of the bin that holds the quantile; 0 without records.
    double quantile(double q) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    boost::histogram::histogram<std::tuple<Axis>> m_histogram;
    double m_count = 0;
};

// Sums up what callers saw in a run: attainment, goodput, refusals and the worst-served team.
// Owned by the load tool; filled as requests end.
class LoadReport {
public:
    explicit LoadReport(const Profile&);

    void record(const Arrival&, const CallResult&);
    // Tokens that the engines made during the run, to tell wasted work.
    void setTokensMade(std::int64_t tokens) { m_tokensMade = tokens; }
    boost::json::object toJson(Duration elapsed) const;

private:
    struct ClassTotals {
        std::int64_t requests = 0;
        std::int64_t attained = 0;
        std::int64_t completed = 0;
        std::int64_t truncated = 0;
        std::int64_t outOfOrder = 0;
        std::int64_t deliveredTokens = 0;
        std::map<std::string, std::int64_t> refusals; // by code
        DurationHistogram firstToken;
        DurationHistogram total;
    };
    struct TeamTotals {
        std::int64_t wantedTokens = 0;
        std::int64_t servedTokens = 0;
    };

    bool attains(const StreamLoad&, const CallResult&) const;

    const Profile& m_profile;
    std::map<std::string, ClassTotals> m_classes;
    std::map<std::string, TeamTotals> m_teams;
    std::int64_t m_tokensMade = -1;
};

// A table of one report, and of two side by side with ratios.
std::string formatReport(const boost::json::object&);
std::string compareReports(const boost::json::object& left, const boost::json::object& right);

} // namespace lagoonspoke
