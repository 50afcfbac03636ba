#include "tools/load/LoadReport.h"

#include <algorithm>

#include <fmt/format.h>

namespace lagoonspoke {

namespace json = boost::json;
namespace histogram = boost::histogram;

namespace {

constexpr int binCount = 900;
constexpr double leastMilliseconds = 0.01;
constexpr double mostMilliseconds = 1e6;

double ratio(std::int64_t part, std::int64_t whole)
{
    return whole ? static_cast<double>(part) / static_cast<double>(whole) : 0;
}

double numberAt(const json::object& object, std::string_view name)
{
    const auto* value = object.if_contains(name);
    return value && value->is_number() ? value->to_number<double>() : 0;
}

} // namespace

DurationHistogram::DurationHistogram()
    : m_histogram(histogram::make_histogram(Axis(binCount, leastMilliseconds, mostMilliseconds)))
{
}

void DurationHistogram::record(Duration duration)
{
    m_histogram(toMilliseconds(duration));
    ++m_count;
}

double DurationHistogram::quantile(double q) const
{
    double seen = 0;
    for (auto&& bin : histogram::indexed(m_histogram, histogram::coverage::all)) {
        seen += *bin;
        if (m_count > 0 && seen >= q * m_count) {
            return bin.bin().upper();
        }
    }
    return 0;
}

LoadReport::LoadReport(const Profile& profile)
    : m_profile(profile)
{
}

bool LoadReport::attains(const StreamLoad& stream, const CallResult& result) const
{
    if (!result.complete || result.status != 200 || !result.code.empty()) {
        return false;
    }
    if (stream.model.empty()) {
        return result.total <= stream.firstTokenTarget;
    }
    auto gaps = std::max<std::int64_t>(1, result.tokens - 1);
    return result.firstToken <= stream.firstTokenTarget && result.gapSum / gaps <= stream.tokenGapTarget;
}

void LoadReport::record(const Arrival& arrival, const CallResult& result)
{
    const auto& stream = m_profile.streams[arrival.stream];
    auto& totals = m_classes[stream.className];
    auto& team = m_teams[stream.teams[arrival.team].team];
    ++totals.requests;
    team.wantedTokens += arrival.outputTokens;
    totals.attained += attains(stream, result);
    totals.outOfOrder += !result.inOrder;
    if (result.complete && result.status == 200 && result.code.empty()) {
        ++totals.completed;
        totals.deliveredTokens += result.tokens;
        team.servedTokens += arrival.outputTokens;
        totals.firstToken.record(result.tokens ? result.firstToken : result.total);
        totals.total.record(result.total);
    } else if (!result.code.empty()) {
        ++totals.refusals[result.code];
    } else {
        ++totals.truncated;
    }
}

json::object LoadReport::toJson(Duration elapsed) const
{
    json::object classes;
    std::int64_t delivered = 0;
    for (const auto& [name, totals] : m_classes) {
        delivered += totals.deliveredTokens;
        json::object refusals;
        for (const auto& [code, count] : totals.refusals) {
            refusals[code] = count;
        }
        classes[name] = json::object { { "requests", totals.requests },
            { "attainment", ratio(totals.attained, totals.requests) }, { "completed", totals.completed },
            { "truncated", totals.truncated }, { "out_of_order", totals.outOfOrder },
            { "first_token_p50_ms", totals.firstToken.quantile(0.5) },
            { "first_token_p95_ms", totals.firstToken.quantile(0.95) },
            { "first_token_p99_ms", totals.firstToken.quantile(0.99) }, { "total_p50_ms", totals.total.quantile(0.5) },
            { "total_p99_ms", totals.total.quantile(0.99) }, { "refusals", std::move(refusals) } };
    }
    json::object teams;
    double worst = 1;
    for (const auto& [name, team] : m_teams) {
        auto served = ratio(team.servedTokens, team.wantedTokens);
        teams[name] = served;
        worst = std::min(worst, served);
    }
    json::object report { { "profile", m_profile.name }, { "elapsed_s", toSeconds(elapsed) },
        { "goodput_tokens_per_s", static_cast<double>(delivered) / toSeconds(elapsed) }, { "worst_team_served", worst },
        { "classes", std::move(classes) }, { "teams_served", std::move(teams) } };
    if (m_tokensMade >= 0) {
        report["wasted_tokens_share"] = ratio(std::max<std::int64_t>(0, m_tokensMade - delivered), m_tokensMade);
    }
    return report;
}

std::string formatReport(const json::object& report)
{
    auto text = fmt::format("{:<12} {:>8} {:>10} {:>9} {:>9} {:>11} {:>11} {:>9}\n", "class", "requests", "attainment",
        "complete", "truncated", "ttft p50 ms", "ttft p95 ms", "refused");
    for (const auto& pair : report.at("classes").as_object()) {
        const auto& totals = pair.value().as_object();
        double refused = 0;
        for (const auto& refusal : totals.at("refusals").as_object()) {
            refused += refusal.value().to_number<double>();
        }
        text += fmt::format("{:<12} {:>8} {:>10.4f} {:>9} {:>9} {:>11.2f} {:>11.2f} {:>9}\n", std::string(pair.key()),
            numberAt(totals, "requests"), numberAt(totals, "attainment"), numberAt(totals, "completed"),
            numberAt(totals, "truncated"), numberAt(totals, "first_token_p50_ms"),
            numberAt(totals, "first_token_p95_ms"), refused);
    }
    text += fmt::format("goodput {:.1f} tokens/s, worst team served {:.4f}, wasted {:.4f}\n",
        numberAt(report, "goodput_tokens_per_s"), numberAt(report, "worst_team_served"),
        numberAt(report, "wasted_tokens_share"));
    return text;
}

std::string compareReports(const json::object& left, const json::object& right)
{
    auto text = fmt::format("{:<44} {:>12} {:>12} {:>8}\n", "measure", "A", "B", "B/A");
    auto line = [&](const std::string& name, double a, double b) {
        text += fmt::format(
            "{:<44} {:>12.4f} {:>12.4f} {:>8}\n", name, a, b, a != 0 ? fmt::format("{:.3f}", b / a) : "-");
    };
    for (const auto* name : { "goodput_tokens_per_s", "worst_team_served", "wasted_tokens_share" }) {
        line(name, numberAt(left, name), numberAt(right, name));
    }
    for (const auto& pair : left.at("classes").as_object()) {
        const auto* other = right.at("classes").as_object().if_contains(pair.key());
        if (!other) {
            continue;
        }
        for (const auto* name : { "attainment", "completed", "first_token_p50_ms", "first_token_p95_ms" }) {
            line(fmt::format("{} {}", std::string(pair.key()), name), numberAt(pair.value().as_object(), name),
                numberAt(other->as_object(), name));
        }
    }
    return text;
}

} // namespace lagoonspoke
