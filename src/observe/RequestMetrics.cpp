#include "observe/RequestMetrics.h"

namespace lagoonspoke {

namespace {

constexpr std::size_t maxTeams = 50;

const prometheus::Histogram::BucketBoundaries secondsBuckets { 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1,
    1.7, 2.5, 5, 10, 30, 60 };
// Finer around the design's bound of 28 ms.
const prometheus::Histogram::BucketBoundaries gapBuckets { 0.001, 0.002, 0.005, 0.01, 0.015, 0.02, 0.028, 0.04, 0.06,
    0.1, 0.2, 0.5, 1, 5 };

prometheus::Family<prometheus::Histogram>& registerHistogram(
    prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

} // namespace

RequestMetrics::RequestMetrics(prometheus::Registry& registry)
    : m_queue(registerHistogram(
        registry, "lagoonspoke_queue_seconds", "Time that a request waited for grants, over all attempts."))
    , m_firstToken(registerHistogram(
          registry, "lagoonspoke_first_token_seconds", "Time from a request's arrival to its first token."))
    , m_tokenGap(registerHistogram(registry, "lagoonspoke_token_gap_seconds", "Time between two tokens of a stream."))
    , m_total(registerHistogram(
          registry, "lagoonspoke_request_seconds", "Time from a request's arrival to the end of its response."))
    , m_wastedTokens(prometheus::BuildCounter()
                         .Name("lagoonspoke_wasted_tokens_total")
                         .Help("Output tokens of responses that did not complete.")
                         .Register(registry))
    , m_outcomes(prometheus::BuildCounter()
                     .Name("lagoonspoke_requests_total")
                     .Help("Finished requests by class, team and outcome code; completed ones have code=\"ok\".")
                     .Register(registry))
    , m_streamFaults(prometheus::BuildCounter()
                         .Name("lagoonspoke_stream_faults_total")
                         .Help("Streams of backend servers with bytes that are no event, by what is wrong with them.")
                         .Register(registry))
    , m_streamTakeUps(prometheus::BuildCounter()
                          .Name("lagoonspoke_stream_takeups_total")
                          .Help("Streams that callers take up, by where the version that began them is known from.")
                          .Register(registry))
    , m_callerLimits(prometheus::BuildCounter()
                         .Name("lagoonspoke_caller_limits_total")
                         .Help("Connections and requests of callers that reached a limit of their input.")
                         .Register(registry))
{
}

std::string RequestMetrics::labelOf(const TeamId& team)
{
    if (team.empty()) {
        return "none";
    }
    if (m_teams.contains(team) || (m_teams.size() < maxTeams && m_teams.insert(team).second)) {
        return team.value();
    }
    return "other";
}

RequestMetrics::Series& RequestMetrics::seriesOf(const ClassName& className, const TeamId& team)
{
    std::lock_guard lock(m_mutex);
    auto label = labelOf(team);
    auto& series = m_series[{ className, label }];
    if (!series) {
        const prometheus::Labels labels { { "class", className.value() }, { "team", label } };
        series.reset(new Series { m_queue.Add(labels, secondsBuckets), m_firstToken.Add(labels, secondsBuckets),
            m_tokenGap.Add(labels, gapBuckets), m_total.Add(labels, secondsBuckets), m_wastedTokens.Add(labels),
            className.value(), label });
    }
    return *series;
}

void RequestMetrics::countOutcome(const Series& series, std::string_view code)
{
    m_outcomes.Add({ { "class", series.className }, { "team", series.team }, { "code", std::string(code) } })
        .Increment();
}

void RequestMetrics::countStreamFault(std::string_view fault)
{
    m_streamFaults.Add({ { "fault", std::string(fault) } }).Increment();
}

void RequestMetrics::countStreamTakeUp(std::string_view knownFrom)
{
    m_streamTakeUps.Add({ { "known_from", std::string(knownFrom) } }).Increment();
}

void RequestMetrics::countCallerLimit(std::string_view limit)
{
    m_callerLimits.Add({ { "limit", std::string(limit) } }).Increment();
}

void RequestMetrics::countUnknown(std::string_view code)
{
    m_outcomes.Add({ { "class", "none" }, { "team", "none" }, { "code", std::string(code) } }).Increment();
}

} // namespace lagoonspoke
