#include "external/UsageClient.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace lagoonspoke {

UsageClient::UsageClient(tcp::endpoint endpoint, std::string sender, Duration bound)
    : m_endpoint(std::move(endpoint))
    , m_sender(std::move(sender))
    , m_bound(bound)
{
}

asio::awaitable<Outcome<void>> UsageClient::report(UsageReport report) const
{
    HttpCall call;
    call.method = "POST";
    call.target = "/v1/reports";
    const auto& [team, figures] = *report.teams.begin();
    boost::json::object body {
        { "window", report.window },
        { "team", team.value() },
        { "report_id", report.id },
        { "fencing_token", static_cast<std::uint64_t>(report.token) },
        { "sender", m_sender },
        { "requests", figures.requests },
        { "prompt_tokens", figures.promptTokens },
        { "output_tokens", figures.outputTokens },
    };
    call.body = boost::json::serialize(body);
    auto reply = co_await callHttp(m_endpoint, std::move(call), m_bound);
    if (!reply) {
        co_return tl::make_unexpected(reply.error());
    }
    if (reply->status == 409) {
        co_return makeError(ErrorCode::Conflict, "the usage interface refused the report");
    }
    if (reply->status != 200) {
        co_return makeError(
            ErrorCode::Unavailable, fmt::format("the usage interface replied with status {}", reply->status));
    }
    co_return Outcome<void>();
}

} // namespace lagoonspoke
