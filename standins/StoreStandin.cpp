#include "standins/StoreStandin.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include "lagoonspoke/core/Text.h"
#include "standins/Query.h"

namespace lagoonspoke {

namespace json = boost::json;

namespace {

constexpr std::size_t maxValueBytes = 1 << 20;

asio::awaitable<void> sleepFor(std::chrono::milliseconds duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(useTuple);
}

HeaderList makeVersionHeader(std::uint64_t version)
{
    HeaderList headers;
    headers.emplace_back("ETag", fmt::format("\"{}\"", version));
    return headers;
}

} // namespace

asio::awaitable<void> StoreStandin::handle(HttpExchange& exchange)
{
    static constexpr std::string_view objects = "/v1/objects/";
    std::string path(targetPath(exchange.target()));
    if (path == "/faults") {
        co_await handleFaults(exchange);
        co_return;
    }
    if (path == "/stats") {
        co_await handleStats(exchange);
        co_return;
    }
    if (m_faults.delay.count() > 0) {
        co_await sleepFor(m_faults.delay);
    }
    if (m_faults.down) {
        ++m_calls["refused"];
        exchange.closeAfter();
        co_await respondEmpty(exchange, http::status::service_unavailable);
    } else if (path == "/v1/objects") {
        co_await handleList(exchange, queryParameter(exchange.target(), "prefix"));
    } else if (path == "/v1/watch") {
        co_await handleWatch(exchange);
    } else if (path.starts_with(objects)) {
        co_await handleObject(exchange, path.substr(objects.size()));
    } else {
        co_await respondEmpty(exchange, http::status::not_found);
    }
}

asio::awaitable<void> StoreStandin::handleObject(HttpExchange& exchange, std::string key)
{
    auto method = exchange.request().method();
    if (method == http::verb::put) {
        co_await handlePut(exchange, key);
    } else if (method == http::verb::delete_) {
        co_await handleDelete(exchange, key);
    } else {
        ++m_calls["get"];
        if (auto it = m_objects.find(key); it != m_objects.end()) {
            co_await respondObject(exchange, it->second);
        } else {
            co_await respondEmpty(exchange, http::status::not_found);
        }
    }
}

bool StoreStandin::conditionHolds(const HttpExchange& exchange, const std::string& key) const
{
    auto it = m_objects.find(key);
    if (exchange.header("If-None-Match") == "*") {
        return it == m_objects.end();
    }
    auto match = exchange.header("If-Match");
    return it != m_objects.end() && match == fmt::format("\"{}\"", it->second.version);
}

bool StoreStandin::losesResponse(HttpExchange& exchange)
{
    if (m_faults.loseWriteResponses == 0) {
        return false;
    }
    --m_faults.loseWriteResponses;
    exchange.closeAfter();
    return true;
}

asio::awaitable<void> StoreStandin::handlePut(HttpExchange& exchange, const std::string& key)
{
    ++m_calls["put"];
    auto body = co_await exchange.readBody();
    if (!body) {
        co_return;
    }
    if (body->size() > maxValueBytes) {
        co_await respondEmpty(exchange, http::status::payload_too_large);
    } else if (!conditionHolds(exchange, key)) {
        co_await respondEmpty(exchange, http::status::precondition_failed);
    } else {
        auto version = ++m_lastVersion;
        m_objects[key] = { std::move(*body), version };
        // At once, so that a watch answers before a later outage, as a store does that sends notices with the write.
        wakeWatches();
        if (!losesResponse(exchange)) {
            auto headers = makeVersionHeader(version);
            co_await exchange.respond(http::status::ok, "application/octet-stream", "", headers);
        }
    }
}

asio::awaitable<void> StoreStandin::handleDelete(HttpExchange& exchange, const std::string& key)
{
    ++m_calls["delete"];
    if (!m_objects.contains(key)) {
        co_await respondEmpty(exchange, http::status::not_found);
    } else if (!conditionHolds(exchange, key)) {
        co_await respondEmpty(exchange, http::status::precondition_failed);
    } else {
        m_objects.erase(key);
        if (!losesResponse(exchange)) {
            co_await respondEmpty(exchange, http::status::ok);
        }
    }
}

asio::awaitable<void> StoreStandin::handleList(HttpExchange& exchange, std::string prefix)
{
    ++m_calls["list"];
    json::array entries;
    for (auto it = m_objects.lower_bound(prefix); it != m_objects.end() && it->first.starts_with(prefix); ++it) {
        entries.push_back(json::object { { "key", it->first }, { "version", it->second.version } });
    }
    auto body = json::serialize(json::object { { "objects", std::move(entries) } });
    co_await exchange.respond(http::status::ok, "application/json", std::move(body));
}

asio::awaitable<void> StoreStandin::handleWatch(HttpExchange& exchange)
{
    ++m_calls["watch"];
    auto it = m_waitingWatches.emplace(m_waitingWatches.end(), co_await asio::this_coro::executor);
    co_await answerWatch(exchange, *it);
    m_waitingWatches.erase(it);
}

void StoreStandin::wakeWatches()
{
    for (auto& timer : m_waitingWatches) {
        timer.cancel();
    }
}

asio::awaitable<void> StoreStandin::answerWatch(HttpExchange& exchange, asio::steady_timer& timer)
{
    auto key = queryParameter(exchange.target(), "key");
    auto after = parseNumber<std::uint64_t>(queryParameter(exchange.target(), "after")).value_or(0);
    auto timeout = parseNumber<std::int64_t>(queryParameter(exchange.target(), "timeout_ms")).value_or(0);
    auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout);
    while (!m_faults.down) {
        if (auto it = m_objects.find(key); it != m_objects.end() && it->second.version > after) {
            co_await respondObject(exchange, it->second);
            co_return;
        }
        if (std::chrono::steady_clock::now() >= end) {
            co_await respondEmpty(exchange, http::status::no_content);
            co_return;
        }
        timer.expires_at(end);
        co_await timer.async_wait(useTuple);
    }
    exchange.closeAfter();
}

asio::awaitable<void> StoreStandin::handleFaults(HttpExchange& exchange)
{
    auto body = co_await exchange.readBody();
    error_code ec;
    auto value = json::parse(body ? *body : std::string(), ec);
    if (ec || !value.is_object()) {
        co_await respondEmpty(exchange, http::status::bad_request);
        co_return;
    }
    const auto& faults = value.get_object();
    if (const auto* it = faults.if_contains("down")) {
        m_faults.down = it->as_bool();
        wakeWatches();
    }
    if (const auto* it = faults.if_contains("delay_ms")) {
        m_faults.delay = std::chrono::milliseconds(it->as_int64());
    }
    if (const auto* it = faults.if_contains("lose_write_responses")) {
        m_faults.loseWriteResponses = static_cast<int>(it->as_int64());
    }
    co_await respondEmpty(exchange, http::status::ok);
}

asio::awaitable<void> StoreStandin::handleStats(HttpExchange& exchange)
{
    json::object calls;
    for (const auto& [kind, count] : m_calls) {
        calls[kind] = count;
    }
    auto body = json::serialize(json::object { { "calls", std::move(calls) }, { "objects", m_objects.size() },
        { "waiting_watches", m_waitingWatches.size() } });
    co_await exchange.respond(http::status::ok, "application/json", std::move(body));
}

asio::awaitable<void> StoreStandin::respondObject(HttpExchange& exchange, const Object& object)
{
    auto headers = makeVersionHeader(object.version);
    co_await exchange.respond(http::status::ok, "application/octet-stream", object.value, headers);
}

asio::awaitable<void> StoreStandin::respondEmpty(HttpExchange& exchange, http::status status)
{
    co_await exchange.respond(status, "text/plain", "");
}

} // namespace lagoonspoke
