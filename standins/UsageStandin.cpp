#include "standins/UsageStandin.h"

#include <boost/json.hpp>

#include "settings/JsonReader.h"
#include "standins/Query.h"

namespace lagoonspoke {

namespace json = boost::json;

namespace {

constexpr auto most = std::numeric_limits<std::int64_t>::max();

} // namespace

asio::awaitable<void> UsageStandin::handle(HttpExchange& exchange)
{
    std::string path(targetPath(exchange.target()));
    if (path == "/faults") {
        co_await handleFaults(exchange);
    } else if (path == "/stats") {
        co_await handleStats(exchange);
    } else if (path != "/v1/reports") {
        co_await exchange.respond(http::status::not_found, "text/plain", "");
    } else if (m_down) {
        exchange.closeAfter();
        co_await exchange.respond(http::status::service_unavailable, "text/plain", "");
    } else {
        co_await handleReport(exchange);
    }
}

asio::awaitable<void> UsageStandin::handleReport(HttpExchange& exchange)
{
    auto body = co_await exchange.readBody();
    auto value = parseJson(body ? *body : std::string());
    std::vector<Error> errors;
    Report report;
    if (value) {
        JsonReader reader(*value, "", errors);
        report.window = reader.readInteger("window", 0, most);
        report.team = reader.readString("team");
        report.id = reader.readString("report_id");
        report.token = reader.readInteger("fencing_token", 0, most);
        report.sender = reader.readString("sender");
        report.figures.requests = reader.readInteger("requests", 0, most);
        report.figures.promptTokens = reader.readInteger("prompt_tokens", 0, most);
        report.figures.outputTokens = reader.readInteger("output_tokens", 0, most);
    }
    if (!value || !errors.empty()) {
        co_await exchange.respond(http::status::bad_request, "text/plain", formatErrors(errors));
        co_return;
    }
    bool taken = accept(std::move(report));
    if (m_loseResponses > 0) {
        --m_loseResponses;
        exchange.closeAfter();
        co_return;
    }
    co_await exchange.respond(taken ? http::status::ok : http::status::conflict, "text/plain", "");
}

void UsageStandin::checkClaim(const Report& report)
{
    auto [claim, added] = m_senders.try_emplace(report.token, report.sender);
    const auto& [highest, holder] = *m_senders.rbegin();
    if (claim->second != report.sender || (report.token < highest && holder != report.sender)) {
        ++m_overlappingClaims;
    }
}

bool UsageStandin::accept(Report report)
{
    checkClaim(report);
    auto [taken, added] = m_taken.try_emplace({ report.window, report.team }, report.figures);
    bool same = taken->second == report.figures;
    m_repeats += !added && same ? 1 : 0;
    m_differentFigures += same ? 0 : 1;
    m_reports.push_back(std::move(report));
    return same;
}

asio::awaitable<void> UsageStandin::handleFaults(HttpExchange& exchange)
{
    auto body = co_await exchange.readBody();
    auto value = parseJson(body ? *body : std::string());
    std::vector<Error> errors;
    if (value) {
        JsonReader reader(*value, "", errors);
        m_down = reader.readBool("down", m_down);
        m_loseResponses = reader.readInteger("lose_responses", 0, most, m_loseResponses);
    }
    auto status = value && errors.empty() ? http::status::ok : http::status::bad_request;
    co_await exchange.respond(status, "text/plain", formatErrors(errors));
}

asio::awaitable<void> UsageStandin::handleStats(HttpExchange& exchange)
{
    json::array reports;
    for (const auto& it : m_reports) {
        reports.push_back(json::object { { "window", it.window }, { "team", it.team }, { "report_id", it.id },
            { "fencing_token", it.token }, { "sender", it.sender }, { "requests", it.figures.requests },
            { "prompt_tokens", it.figures.promptTokens }, { "output_tokens", it.figures.outputTokens } });
    }
    std::map<std::string, Figures> sums;
    for (const auto& [key, figures] : m_taken) {
        auto& sum = sums[key.second];
        sum.requests += figures.requests;
        sum.promptTokens += figures.promptTokens;
        sum.outputTokens += figures.outputTokens;
    }
    json::object totals;
    for (const auto& [team, sum] : sums) {
        totals[team] = json::object { { "requests", sum.requests }, { "prompt_tokens", sum.promptTokens },
            { "output_tokens", sum.outputTokens } };
    }
    auto body = json::serialize(
        json::object { { "reports", std::move(reports) }, { "totals", std::move(totals) }, { "repeats", m_repeats },
            { "different_figures", m_differentFigures }, { "overlapping_claims", m_overlappingClaims } });
    co_await exchange.respond(http::status::ok, "application/json", std::move(body));
}

} // namespace lagoonspoke
