#include "external/ObjectStoreClient.h"

#include <fmt/format.h>

#include "http/HttpTarget.h"
#include "lagoonspoke/core/Text.h"
#include "settings/JsonReader.h"

namespace lagoonspoke {

namespace {

std::string objectTarget(std::string_view key)
{
    return HttpTarget().addSegment("v1").addSegment("objects").addPath(key).text();
}

std::string quoteVersion(std::uint64_t version)
{
    return fmt::format("\"{}\"", version);
}

// The version in an ETag header, which is a quoted decimal number.
Outcome<std::uint64_t> readVersion(const HttpReply& reply)
{
    auto tag = reply.header("etag");
    if (tag.size() > 2 && tag.front() == '"' && tag.back() == '"') {
        if (auto version = parseNumber<std::uint64_t>(tag.substr(1, tag.size() - 2))) {
            return *version;
        }
    }
    return makeError(ErrorCode::ProtocolViolation, "the object store's reply has no version");
}

tl::unexpected<Error> makeStatusError(const HttpReply& reply, std::string_view key)
{
    switch (reply.status) {
    case 404:
        return makeError(ErrorCode::NotFound, fmt::format("'{}' does not exist", key));
    case 412:
        return makeError(ErrorCode::Conflict, fmt::format("'{}' has another version", key));
    case 413:
        return makeError(ErrorCode::TooLarge, fmt::format("the value of '{}' is too large", key));
    case 429:
    case 503:
        return makeError(ErrorCode::Unavailable, "the object store refused the call");
    default:
        return makeError(
            ErrorCode::ProtocolViolation, fmt::format("the object store replied with status {}", reply.status));
    }
}

Outcome<StoredObject> readObjectReply(HttpReply& reply, std::string_view key)
{
    if (reply.status != 200) {
        return makeStatusError(reply, key);
    }
    auto version = readVersion(reply);
    if (!version) {
        return tl::make_unexpected(version.error());
    }
    return StoredObject { std::move(reply.body), *version };
}

} // namespace

ObjectStoreClient::ObjectStoreClient(tcp::endpoint endpoint, Duration bound)
    : m_endpoint(std::move(endpoint))
    , m_bound(bound)
{
}

asio::awaitable<Outcome<StoredObject>> ObjectStoreClient::get(std::string key) const
{
    HttpCall call;
    call.target = objectTarget(key);
    auto reply = co_await callHttp(m_endpoint, std::move(call), m_bound);
    if (!reply) {
        co_return tl::make_unexpected(reply.error());
    }
    co_return readObjectReply(*reply, key);
}

asio::awaitable<Outcome<std::uint64_t>> ObjectStoreClient::create(std::string key, std::string value) const
{
    HeaderList condition;
    condition.emplace_back("If-None-Match", "*");
    co_return co_await put(std::move(key), std::move(value), std::move(condition));
}

asio::awaitable<Outcome<std::uint64_t>> ObjectStoreClient::update(
    std::string key, std::string value, std::uint64_t version) const
{
    HeaderList condition;
    condition.emplace_back("If-Match", quoteVersion(version));
    co_return co_await put(std::move(key), std::move(value), std::move(condition));
}

asio::awaitable<Outcome<std::uint64_t>> ObjectStoreClient::put(
    std::string key, std::string value, HeaderList condition) const
{
    HttpCall call;
    call.method = "PUT";
    call.target = objectTarget(key);
    call.body = std::move(value);
    call.headers = std::move(condition);
    auto reply = co_await callHttp(m_endpoint, std::move(call), m_bound);
    if (!reply) {
        co_return tl::make_unexpected(reply.error());
    }
    if (reply->status != 200) {
        co_return makeStatusError(*reply, key);
    }
    co_return readVersion(*reply);
}

asio::awaitable<Outcome<void>> ObjectStoreClient::remove(std::string key, std::uint64_t version) const
{
    HttpCall call;
    call.method = "DELETE";
    call.target = objectTarget(key);
    call.headers.emplace_back("If-Match", quoteVersion(version));
    auto reply = co_await callHttp(m_endpoint, std::move(call), m_bound);
    if (!reply) {
        co_return tl::make_unexpected(reply.error());
    }
    if (reply->status != 200) {
        co_return makeStatusError(*reply, key);
    }
    co_return Outcome<void>();
}

asio::awaitable<Outcome<std::vector<ObjectEntry>>> ObjectStoreClient::list(std::string prefix) const
{
    HttpCall call;
    call.target = HttpTarget().addSegment("v1").addSegment("objects").addParameter("prefix", prefix).text();
    auto reply = co_await callHttp(m_endpoint, std::move(call), m_bound);
    if (!reply) {
        co_return tl::make_unexpected(reply.error());
    }
    if (reply->status != 200) {
        co_return makeStatusError(*reply, prefix);
    }
    auto value = parseJson(reply->body);
    if (!value) {
        co_return makeError(ErrorCode::ProtocolViolation, value.error().message);
    }
    std::vector<Error> errors;
    std::vector<ObjectEntry> entries;
    JsonReader reader(*value, "", errors);
    for (auto& it : reader.readObjects("objects")) {
        auto key = it.readString("key");
        auto version = it.readInteger("version", 1, std::numeric_limits<std::int64_t>::max());
        entries.push_back({ std::move(key), static_cast<std::uint64_t>(version) });
    }
    if (!errors.empty()) {
        co_return makeError(ErrorCode::ProtocolViolation, formatErrors(errors));
    }
    co_return entries;
}

asio::awaitable<Outcome<std::optional<StoredObject>>> ObjectStoreClient::watch(
    std::string key, std::uint64_t after, Duration wait) const
{
    HttpCall call;
    call.target = HttpTarget()
                      .addSegment("v1")
                      .addSegment("watch")
                      .addParameter("key", key)
                      .addParameter("after", fmt::format("{}", after))
                      .addParameter("timeout_ms", fmt::format("{}", static_cast<std::int64_t>(toMilliseconds(wait))))
                      .text();
    auto reply = co_await callHttp(m_endpoint, std::move(call), wait + m_bound);
    if (!reply) {
        co_return tl::make_unexpected(reply.error());
    }
    if (reply->status == 204) {
        co_return std::optional<StoredObject>();
    }
    auto object = readObjectReply(*reply, key);
    if (!object) {
        co_return tl::make_unexpected(object.error());
    }
    co_return std::optional<StoredObject>(std::move(*object));
}

} // namespace lagoonspoke
