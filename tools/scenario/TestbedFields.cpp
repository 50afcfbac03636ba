// The fields that scenarios can wait for and check.

#include <algorithm>
#include <functional>

#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include "http/Endpoint.h"
#include "lagoonspoke/core/Text.h"
#include "tools/scenario/Testbed.h"

namespace lagoonspoke {

namespace json = boost::json;

namespace {

constexpr std::chrono::seconds callBound(5);

tl::unexpected<Error> unknownField(const std::string& subject, const std::string& field)
{
    return makeError(ErrorCode::InvalidArgument, fmt::format("'{}' has no field '{}'", subject, field));
}

// Sum of all series of one metric in the Prometheus text format.
double sumMetric(const std::string& text, const std::string& name)
{
    double sum = 0;
    for (const std::string& line : std::vector<std::string>(absl::StrSplit(text, '\n'))) {
        if (!line.starts_with(name) || (line[name.size()] != ' ' && line[name.size()] != '{')) {
            continue;
        }
        sum += std::strtod(line.c_str() + line.rfind(' '), nullptr);
    }
    return sum;
}

} // namespace

asio::awaitable<Outcome<json::value>> Testbed::readField(std::string subject, std::string field)
{
    if (auto it = m_requests.find(subject); it != m_requests.end()) {
        co_return readRequestField(it->second, field);
    }
    auto it = m_processes.find(subject);
    if (it == m_processes.end()) {
        co_return Outcome<json::value>(
            makeError(ErrorCode::InvalidArgument, fmt::format("there is no request or process '{}'", subject)));
    }
    if (field == "exited") {
        co_return json::value(it->second->exited());
    }
    if (field == "exit_code") {
        co_return it->second->exited() ? json::value(it->second->exitCode()) : json::value();
    }
    if (field == "cpu_ms") {
        auto used = it->second->cpuMilliseconds();
        co_return used ? json::value(*used) : json::value();
    }
    if (field == "rss_kb") {
        auto resident = it->second->residentKilobytes();
        co_return resident ? json::value(*resident) : json::value();
    }
    if (field.starts_with("log:")) {
        co_return json::value(it->second->countLogLines(field.substr(4)));
    }
    if (m_kinds[subject] == "daemon") {
        co_return co_await readDaemonField(subject, field);
    }
    co_return co_await readStatistic(subject, field);
}

std::string Testbed::describe(const Outcome<json::value>& field)
{
    return field ? json::serialize(*field) : fmt::format("unknown ({})", field.error().message);
}

Outcome<json::value> Testbed::readRequestField(const Calls& calls, const std::string& field) const
{
    const auto& first = calls.front()->result();
    auto count = [&](const std::function<bool(const CallResult&)>& matches) {
        return json::value(std::ranges::count_if(calls, [&](const auto& call) { return matches(call->result()); }));
    };
    if (field == "status") {
        return json::value(first.status);
    }
    if (field == "code") {
        return json::value(first.code);
    }
    if (field == "run") {
        return json::value(first.run);
    }
    if (field == "body") {
        return json::value(first.body);
    }
    if (field == "tokens") {
        return json::value(first.tokens);
    }
    if (field == "count") {
        return json::value(calls.size());
    }
    if (field == "done") {
        return count([](const CallResult& it) { return it.done; });
    }
    if (field == "complete") {
        return count([](const CallResult& it) { return it.complete && it.status == 200 && it.code.empty(); });
    }
    if (field == "in_order") {
        return count([](const CallResult& it) { return it.inOrder; });
    }
    if (field == "refused") {
        return count([](const CallResult& it) { return it.done && it.run == "not-run"; });
    }
    if (field == "started") {
        return count([](const CallResult& it) { return it.tokens > 0; });
    }
    return unknownField("request", field);
}

asio::awaitable<Outcome<std::string>> Testbed::fetch(std::string address, std::string target)
{
    auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        // The process does not listen yet.
        co_return makeError(ErrorCode::Unavailable, endpoint.error().message);
    }
    HttpCall call;
    call.target = std::move(target);
    auto reply = co_await callHttp(*endpoint, std::move(call), callBound);
    if (!reply) {
        co_return tl::make_unexpected(reply.error());
    }
    if (reply->status != 200) {
        co_return makeError(ErrorCode::Unavailable, reply->body);
    }
    co_return std::move(reply->body);
}

asio::awaitable<Outcome<json::value>> Testbed::readDaemonField(std::string name, std::string field)
{
    auto address = m_processes[name]->listeningField("admin_address").value_or("");
    if (field == "ready") {
        auto ready = co_await fetch(address, "/readyz");
        co_return json::value(ready.has_value());
    }
    if (field.starts_with("metric:")) {
        auto text = co_await fetch(address, "/metrics");
        co_return text.map([&](const std::string& it) { return json::value(sumMetric(it, field.substr(7))); });
    }
    co_return unknownField(name, field);
}

asio::awaitable<Outcome<json::value>> Testbed::readStatistic(std::string name, std::string field)
{
    auto text = co_await fetch(addressOf(name), "/stats");
    if (!text) {
        co_return tl::make_unexpected(text.error());
    }
    error_code ec;
    auto stats = json::parse(*text, ec);
    if (ec) {
        co_return makeError(
            ErrorCode::ProtocolViolation, fmt::format("the statistics of {} are no JSON: {}", name, ec.message()));
    }
    const auto* value = stats.find_pointer("/" + field, ec);
    // A statistic that does not exist yet is null, which no comparison with a number or a text accepts.
    co_return value ? *value : json::value();
}

} // namespace lagoonspoke
