#include "standins/EngineStandin.h"

#include <algorithm>
#include <cstdlib>

#include <fmt/format.h>

#include "entry/Prompt.h"
#include "lagoonspoke/core/Text.h"
#include "observe/LogLine.h"
#include "standins/Json.h"
#include "standins/Query.h"

namespace lagoonspoke {

namespace json = boost::json;

namespace {

constexpr std::int64_t defaultTokenCount = 16;
constexpr std::chrono::milliseconds silencePollInterval(20);

} // namespace

// One request from its arrival to its last token.
struct EngineStandin::Generation {
    explicit Generation(asio::any_io_executor executor)
        : timer(std::move(executor))
    {
    }
    std::string id;
    int priority = 0;
    std::int64_t next = 0; // the next token's number
    std::int64_t count = 0;
    std::int64_t promptTokens = 0;
    std::size_t uncachedBlocks = 0;
    bool stream = false;
    bool started = false;
    bool cancelled = false;
    asio::steady_timer timer;
};

EngineStandin::EngineStandin(Options options)
    : m_options(options)
    , m_cache(options.cacheBlocks)
{
}

asio::awaitable<void> EngineStandin::handle(HttpExchange& exchange)
{
    std::string path(targetPath(exchange.target()));
    if (path == "/v1/chat/completions" || path == "/v1/completions") {
        co_await handleCompletion(exchange);
    } else if (path == "/load") {
        co_await respondJson(exchange, describeLoad());
    } else if (path == "/cache-events") {
        co_await respondJson(exchange, describeCacheEvents(exchange.target()));
    } else if (path == "/stats") {
        co_await respondJson(exchange, describeStats());
    } else if (path == "/faults") {
        co_await handleFaults(exchange);
    } else if (path == "/admin/orders") {
        co_await handleOrder(exchange);
    } else if (path == "/v1/cancel") {
        co_await handleCancel(exchange);
    } else {
        co_await exchange.respond(http::status::not_found, "text/plain", "");
    }
}

asio::awaitable<void> EngineStandin::respondJson(HttpExchange& exchange, json::object value)
{
    co_await exchange.respond(http::status::ok, "application/json", json::serialize(value));
}

void EngineStandin::recordHeaders(const HttpExchange& exchange)
{
    ++m_received;
    for (const auto& field : exchange.request()) {
        if (field.name() == http::field::authorization || field.value().find("lsk_") != std::string_view::npos) {
            ++m_credentialsSeen;
        }
    }
}

asio::awaitable<void> EngineStandin::handleCompletion(HttpExchange& exchange)
{
    auto body = co_await exchange.readBody();
    recordHeaders(exchange);
    auto request = body ? parseObject(*body) : std::nullopt;
    if (!request) {
        co_await exchange.respond(http::status::bad_request, "text/plain", "not a JSON object\n");
        co_return;
    }
    if (body->find("lsk_") != std::string::npos) {
        ++m_credentialsSeen;
    }
    if (!m_faults.crashMarker.empty() && body->find(m_faults.crashMarker) != std::string::npos) {
        LogLine(LogLevel::Error, "crashed").add("request", exchange.header("x-request-id"));
        std::_Exit(EXIT_FAILURE);
    }
    if (m_faults.refuse) {
        co_await exchange.respond(http::status::service_unavailable, "text/plain", "");
        co_return;
    }
    Generation generation(co_await asio::this_coro::executor);
    generation.id = exchange.header("x-request-id");
    generation.priority = parseNumber<int>(exchange.header("x-priority")).value_or(0);
    generation.next = parseNumber<std::int64_t>(exchange.header("x-resume-after")).value_or(0);
    // "output_tokens" stands for what the model would have said; callers of a real engine cannot know it.
    generation.count = integerField(*request, "output_tokens", integerField(*request, "max_tokens", defaultTokenCount));
    generation.stream = boolField(*request, "stream", false);
    generation.promptTokens = static_cast<std::int64_t>(body->size() / 4);
    std::vector<std::uint64_t> blocks;
    for (auto block : hashPrefix(promptText(*request))) {
        blocks.push_back(static_cast<std::uint64_t>(block));
    }
    generation.uncachedBlocks = blocks.size() - m_cache.touch(blocks);
    ++m_runsByRequest[generation.id];
    co_await waitForSlot(generation);
    co_await generate(exchange, generation);
    startNextWaiting();
}

asio::awaitable<void> EngineStandin::waitForSlot(Generation& generation)
{
    m_active[generation.id] = &generation;
    if (m_running < m_options.slots) {
        ++m_running;
        co_return;
    }
    m_waiting.emplace(generation.priority, &generation);
    generation.timer.expires_at(asio::steady_timer::time_point::max());
    while (!generation.started) {
        co_await generation.timer.async_wait(useTuple);
    }
}

void EngineStandin::startNextWaiting()
{
    if (m_waiting.empty()) {
        --m_running;
        return;
    }
    auto* next = m_waiting.begin()->second;
    m_waiting.erase(m_waiting.begin());
    next->started = true;
    next->timer.cancel();
}

asio::awaitable<void> EngineStandin::generate(HttpExchange& exchange, Generation& generation)
{
    generation.timer.expires_after(m_options.firstToken + m_options.prefillPerBlock * generation.uncachedBlocks);
    co_await generation.timer.async_wait(useTuple);
    if (generation.stream) {
        co_await streamTokens(exchange, generation);
    } else {
        co_await sendWhole(exchange, generation);
    }
    m_active.erase(generation.id);
}

std::chrono::microseconds EngineStandin::pace() const
{
    auto occupancy = m_options.slots > 1 ? static_cast<double>(m_running - 1) / (m_options.slots - 1) : 0;
    auto factor = (1 + (m_options.fullLoadFactor - 1) * std::clamp(occupancy, 0.0, 1.0)) * m_faults.slowFactor;
    return std::chrono::duration_cast<std::chrono::microseconds>(m_options.tokenGap * factor);
}

asio::awaitable<bool> EngineStandin::produceToken(Generation& generation)
{
    generation.timer.expires_after(pace());
    co_await generation.timer.async_wait(useTuple);
    while (m_faults.silent && !generation.cancelled) {
        generation.timer.expires_after(silencePollInterval);
        co_await generation.timer.async_wait(useTuple);
    }
    ++m_tokensMade;
    ++generation.next;
    co_return !generation.cancelled;
}

asio::awaitable<void> EngineStandin::streamTokens(HttpExchange& exchange, Generation& generation)
{
    HeaderList headers;
    headers.emplace_back("x-request-id", m_faults.crossRequestIds ? "another-request" : generation.id);
    auto first = generation.next;
    auto ec = co_await exchange.startStream(http::status::ok, "text/event-stream", headers);
    while (!ec && generation.next < generation.count) {
        auto chunk = fmt::format(
            "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"t{} \"}}}}]}}\n\n", generation.next);
        if (!co_await produceToken(generation) || generation.next - first == m_faults.truncateAfter) {
            exchange.closeAfter();
            co_return;
        }
        ec = co_await exchange.writeChunk(chunk);
    }
    if (ec) {
        ++m_cancelled;
        co_return;
    }
    auto end = fmt::format("data: {{\"choices\":[],\"usage\":{{\"prompt_tokens\":{},\"completion_tokens\":{}}}}}\n\n"
                           "data: [DONE]\n\n",
        generation.promptTokens, generation.next);
    ec = co_await exchange.writeChunk(end);
    if (!ec) {
        ec = co_await exchange.finishStream();
    }
    ++(ec ? m_cancelled : m_completed);
}

asio::awaitable<void> EngineStandin::sendWhole(HttpExchange& exchange, Generation& generation)
{
    std::string text;
    while (generation.next < generation.count) {
        text += fmt::format("t{} ", generation.next);
        if (!co_await produceToken(generation)) {
            exchange.closeAfter();
            ++m_cancelled;
            co_return;
        }
    }
    json::object message { { "role", "assistant" }, { "content", text } };
    json::object usage { { "prompt_tokens", generation.promptTokens }, { "completion_tokens", generation.count } };
    json::object choice { { "index", 0 }, { "message", message }, { "finish_reason", "stop" } };
    json::object response { { "object", "chat.completion" }, { "choices", json::array { choice } },
        { "usage", usage } };
    HeaderList headers;
    headers.emplace_back("x-request-id", m_faults.crossRequestIds ? "another-request" : generation.id);
    auto ec = co_await exchange.respond(http::status::ok, "application/json", json::serialize(response), headers);
    ++(ec ? m_cancelled : m_completed);
}

asio::awaitable<void> EngineStandin::handleFaults(HttpExchange& exchange)
{
    auto body = co_await exchange.readBody();
    auto faults = body ? parseObject(*body) : std::nullopt;
    if (!faults) {
        co_await exchange.respond(http::status::bad_request, "text/plain", "");
        co_return;
    }
    m_faults.slowFactor = numberField(*faults, "slow_factor", m_faults.slowFactor);
    m_faults.silent = boolField(*faults, "silent", m_faults.silent);
    m_faults.crashMarker = stringField(*faults, "crash_marker", m_faults.crashMarker);
    m_faults.truncateAfter = integerField(*faults, "truncate_after", m_faults.truncateAfter);
    m_faults.crossRequestIds = boolField(*faults, "cross_request_ids", m_faults.crossRequestIds);
    m_faults.refuse = boolField(*faults, "refuse", m_faults.refuse);
    m_cache.loseEvents(static_cast<std::uint64_t>(integerField(*faults, "lose_cache_events", 0)));
    co_await respondJson(exchange, json::object());
}

asio::awaitable<void> EngineStandin::handleCancel(HttpExchange& exchange)
{
    auto body = co_await exchange.readBody();
    auto request = body ? parseObject(*body) : std::nullopt;
    auto it = request ? m_active.find(stringField(*request, "request_id", "")) : m_active.end();
    if (it != m_active.end()) {
        it->second->cancelled = true;
    }
    json::object reply { { "cancelled", it != m_active.end() } };
    co_await respondJson(exchange, std::move(reply));
}

asio::awaitable<void> EngineStandin::handleOrder(HttpExchange& exchange)
{
    auto body = co_await exchange.readBody();
    auto order = body ? parseObject(*body) : std::nullopt;
    if (!order) {
        co_await exchange.respond(http::status::bad_request, "text/plain", "");
        co_return;
    }
    auto token = static_cast<std::uint64_t>(integerField(*order, "fencing_token", 0));
    if (m_options.rejectOldFencingTokens && token < m_highestFencingToken) {
        co_await exchange.respond(http::status::conflict, "text/plain", "old fencing token\n");
        co_return;
    }
    m_highestFencingToken = std::max(m_highestFencingToken, token);
    bool repeated = !m_orders.insert(stringField(*order, "order_id", "")).second;
    LogLine(LogLevel::Info, "order").add("body", *body).add("repeated", repeated);
    json::object reply { { "repeated", repeated } };
    co_await respondJson(exchange, std::move(reply));
}

json::object EngineStandin::describeLoad()
{
    auto now = std::chrono::steady_clock::now();
    if (now - m_reportedAt >= m_options.reportLag) {
        auto rate = m_running / std::chrono::duration<double>(pace()).count();
        m_reported = { m_running, static_cast<int>(m_waiting.size()), rate };
        m_reportedAt = now;
    }
    auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_reportedAt);
    return { { "running", m_reported.running }, { "waiting", m_reported.waiting },
        { "tokens_per_second", m_reported.tokensPerSecond }, { "age_ms", age.count() } };
}

json::object EngineStandin::describeCacheEvents(std::string_view target) const
{
    auto after = parseNumber<std::uint64_t>(queryParameter(target, "after")).value_or(0);
    json::array events;
    for (const auto& event : m_cache.eventsAfter(after)) {
        events.push_back(json::object {
            { "seq", event.sequence }, { "kind", event.stored ? "stored" : "evicted" }, { "block", event.block } });
    }
    return { { "events", std::move(events) } };
}

json::object EngineStandin::describeStats() const
{
    int mostRuns = 0;
    for (const auto& [id, runs] : m_runsByRequest) {
        mostRuns = std::max(mostRuns, runs);
    }
    return { { "received", m_received }, { "running", m_running }, { "waiting", m_waiting.size() },
        { "completed", m_completed }, { "cancelled", m_cancelled }, { "tokens_made", m_tokensMade },
        { "credentials_seen", m_credentialsSeen }, { "most_runs_of_one_request", mostRuns },
        { "orders", m_orders.size() } };
}

} // namespace lagoonspoke
