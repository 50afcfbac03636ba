#include "standins/ServiceStandin.h"

#include <algorithm>

#include "standins/Json.h"

namespace lagoonspoke {

namespace json = boost::json;

asio::awaitable<void> ServiceStandin::handle(HttpExchange& exchange)
{
    std::string target(exchange.target());
    if (target == "/faults") {
        co_await handleFaults(exchange);
        co_return;
    }
    if (target == "/stats") {
        co_await handleStats(exchange);
        co_return;
    }
    if (target == "/effects") {
        co_await handleEffects(exchange);
        co_return;
    }
    auto body = co_await exchange.readBody();
    if (!body) {
        co_return;
    }
    ++m_calls;
    if (!exchange.header("authorization").empty() || body->find("lsk_") != std::string::npos) {
        ++m_credentialsSeen;
    }
    if (exchange.request().method() != http::verb::get) {
        ++m_effects[target];
    }
    if (m_faults.delay.count() > 0) {
        asio::steady_timer timer(co_await asio::this_coro::executor, m_faults.delay);
        co_await timer.async_wait(useTuple);
    }
    if (m_faults.dropResponses) {
        exchange.closeAfter();
        co_return;
    }
    HeaderList headers;
    headers.emplace_back("x-request-id", exchange.header("x-request-id"));
    auto reply = json::serialize(json::object { { "target", target }, { "effects", m_effects[target] } });
    co_await exchange.respond(http::status::ok, "application/json", std::move(reply), headers);
}

asio::awaitable<void> ServiceStandin::handleFaults(HttpExchange& exchange)
{
    auto body = co_await exchange.readBody();
    auto faults = body ? parseObject(*body) : std::nullopt;
    if (!faults) {
        co_await exchange.respond(http::status::bad_request, "text/plain", "");
        co_return;
    }
    m_faults.delay = std::chrono::milliseconds(integerField(*faults, "delay_ms", m_faults.delay.count()));
    m_faults.dropResponses = boolField(*faults, "drop_responses", m_faults.dropResponses);
    co_await exchange.respond(http::status::ok, "application/json", "{}");
}

asio::awaitable<void> ServiceStandin::handleEffects(HttpExchange& exchange)
{
    json::object effects;
    for (const auto& [target, count] : m_effects) {
        effects[target] = count;
    }
    co_await exchange.respond(http::status::ok, "application/json", json::serialize(effects));
}

asio::awaitable<void> ServiceStandin::handleStats(HttpExchange& exchange)
{
    int most = 0;
    for (const auto& [target, count] : m_effects) {
        most = std::max(most, count);
    }
    auto body = json::serialize(json::object { { "calls", m_calls }, { "effects", m_effects.size() },
        { "most_effects_of_one_target", most }, { "credentials_seen", m_credentialsSeen } });
    co_await exchange.respond(http::status::ok, "application/json", std::move(body));
}

} // namespace lagoonspoke
