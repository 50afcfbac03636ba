#include "standins/InstanceListStandin.h"

#include <boost/json.hpp>

#include "standins/Query.h"

namespace lagoonspoke {

namespace json = boost::json;

namespace {

constexpr std::size_t maxVersions = 10'000;
constexpr std::string_view instancesPath = "/v1/instances";
constexpr std::string_view instancePrefix = "/v1/instances/";
constexpr std::string_view serverPrefix = "/v1/servers/";

} // namespace

asio::awaitable<void> InstanceListStandin::handle(HttpExchange& exchange)
{
    std::string path(targetPath(exchange.target()));
    if (path == "/faults") {
        co_await handleFaults(exchange);
    } else if (path == instancesPath) {
        co_await handleList(exchange);
    } else if (path.starts_with(instancePrefix)) {
        co_await handleEntry(exchange, m_instances, path.substr(instancePrefix.size()));
    } else if (path.starts_with(serverPrefix)) {
        co_await handleEntry(exchange, m_servers, path.substr(serverPrefix.size()));
    } else {
        co_await respondStatus(exchange, http::status::not_found);
    }
}

asio::awaitable<void> InstanceListStandin::handleList(HttpExchange& exchange)
{
    if (m_down) {
        exchange.closeAfter();
        co_await respondStatus(exchange, http::status::service_unavailable);
        co_return;
    }
    std::string body = R"({"instances":[],"servers":[]})";
    auto shown = Clock::now() - m_lag;
    for (const auto& version : m_versions) {
        if (version.time <= shown) {
            body = version.body;
        }
    }
    co_await exchange.respond(http::status::ok, "application/json", std::move(body));
}

asio::awaitable<void> InstanceListStandin::handleEntry(
    HttpExchange& exchange, std::map<std::string, std::string>& entries, std::string id)
{
    if (exchange.request().method() == http::verb::delete_) {
        auto status = entries.erase(id) ? http::status::ok : http::status::not_found;
        keepVersion();
        co_await respondStatus(exchange, status);
        co_return;
    }
    auto body = co_await exchange.readBody();
    error_code ec;
    auto value = json::parse(body ? *body : std::string(), ec);
    if (ec || !value.is_object() || exchange.request().method() != http::verb::put) {
        co_await respondStatus(exchange, http::status::bad_request);
        co_return;
    }
    value.get_object()["id"] = id;
    entries[id] = json::serialize(value);
    keepVersion();
    co_await respondStatus(exchange, http::status::ok);
}

asio::awaitable<void> InstanceListStandin::handleFaults(HttpExchange& exchange)
{
    auto body = co_await exchange.readBody();
    error_code ec;
    auto value = json::parse(body ? *body : std::string(), ec);
    if (ec || !value.is_object()) {
        co_await respondStatus(exchange, http::status::bad_request);
        co_return;
    }
    const auto& faults = value.get_object();
    if (const auto* it = faults.if_contains("lag_ms"); it && it->is_int64()) {
        m_lag = std::chrono::milliseconds(it->get_int64());
    }
    if (const auto* it = faults.if_contains("down"); it && it->is_bool()) {
        m_down = it->get_bool();
    }
    co_await respondStatus(exchange, http::status::ok);
}

asio::awaitable<void> InstanceListStandin::respondStatus(HttpExchange& exchange, http::status status)
{
    co_await exchange.respond(status, "text/plain", "");
}

void InstanceListStandin::keepVersion()
{
    m_versions.push_back({ Clock::now(), render() });
    if (m_versions.size() > maxVersions) {
        m_versions.pop_front();
    }
}

std::string InstanceListStandin::render() const
{
    auto join = [](const auto& entries) {
        std::string text;
        for (const auto& [id, entry] : entries) {
            text += text.empty() ? "" : ",";
            text += entry;
        }
        return text;
    };
    return R"({"instances":[)" + join(m_instances) + R"(],"servers":[)" + join(m_servers) + "]}";
}

} // namespace lagoonspoke
