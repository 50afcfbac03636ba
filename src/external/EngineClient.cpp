#include "external/EngineClient.h"

#include <fmt/format.h>

#include "settings/JsonReader.h"

namespace lagoonspoke {

namespace json = boost::json;

namespace {

constexpr std::int64_t maxCount = 1 << 20;
constexpr double maxRate = 1e9;
constexpr Duration maxAge = std::chrono::hours(1);

// Reads a number of up to 64 bits, which JSON libraries keep as signed or unsigned.
std::optional<std::uint64_t> readNumber(const json::object& object, std::string_view field)
{
    const auto* value = object.if_contains(field);
    error_code ec;
    auto number = value && value->is_number() ? value->to_number<std::uint64_t>(ec) : 0;
    return value && value->is_number() && !ec ? std::optional(number) : std::nullopt;
}

} // namespace

Outcome<LoadReported> parseEngineLoad(std::string_view text)
{
    auto value = parseJson(text);
    if (!value) {
        return makeError(ErrorCode::ProtocolViolation, value.error().message);
    }
    std::vector<Error> errors;
    JsonReader reader(*value, "", errors);
    LoadReported load;
    load.running = static_cast<int>(reader.readInteger("running", 0, maxCount));
    load.waiting = static_cast<int>(reader.readInteger("waiting", 0, maxCount));
    load.tokensPerSecond = reader.readNumber("tokens_per_second", 0, maxRate);
    load.age = reader.readMilliseconds("age_ms", Duration(0), maxAge);
    if (!errors.empty()) {
        return makeError(ErrorCode::ProtocolViolation, formatErrors(errors));
    }
    return load;
}

Outcome<EngineCacheEvents> parseEngineCacheEvents(std::string_view text)
{
    auto violation = [] { return makeError(ErrorCode::ProtocolViolation, "not a list of cache events"); };
    auto value = parseJson(text);
    const auto* object = value ? value->if_object() : nullptr;
    const auto* list = object ? object->if_contains("events") : nullptr;
    if (!list || !list->is_array()) {
        return violation();
    }
    EngineCacheEvents events;
    for (const auto& it : list->get_array()) {
        const auto* event = it.if_object();
        auto sequence = event ? readNumber(*event, "seq") : std::nullopt;
        auto block = event ? readNumber(*event, "block") : std::nullopt;
        const auto* kind = event ? event->if_contains("kind") : nullptr;
        if (!sequence || !block || !kind || !kind->is_string() || *sequence <= events.lastSequence) {
            return violation();
        }
        if (events.runs.empty() || *sequence != events.lastSequence + 1) {
            events.runs.emplace_back().firstSequence = *sequence;
        }
        events.runs.back().changes.push_back({ PrefixBlock(*block), kind->get_string() == "stored" });
        events.lastSequence = *sequence;
    }
    return events;
}

EngineClient::EngineClient(tcp::endpoint endpoint, Duration bound)
    : m_endpoint(std::move(endpoint))
    , m_bound(bound)
{
}

asio::awaitable<Outcome<std::string>> EngineClient::fetch(std::string target) const
{
    HttpCall call;
    call.target = std::move(target);
    auto reply = co_await callHttp(m_endpoint, std::move(call), m_bound);
    if (!reply) {
        co_return tl::make_unexpected(reply.error());
    }
    if (reply->status != 200) {
        co_return makeError(ErrorCode::Unavailable, fmt::format("the engine replied with status {}", reply->status));
    }
    co_return std::move(reply->body);
}

asio::awaitable<Outcome<LoadReported>> EngineClient::fetchLoad() const
{
    auto body = co_await fetch("/load");
    if (!body) {
        co_return tl::make_unexpected(body.error());
    }
    co_return parseEngineLoad(*body);
}

asio::awaitable<Outcome<EngineCacheEvents>> EngineClient::fetchCacheEvents(std::uint64_t after) const
{
    auto body = co_await fetch(fmt::format("/cache-events?after={}", after));
    if (!body) {
        co_return tl::make_unexpected(body.error());
    }
    co_return parseEngineCacheEvents(*body);
}

} // namespace lagoonspoke
