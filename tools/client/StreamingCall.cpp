#include "tools/client/StreamingCall.h"

#include <array>
#include <limits>
#include <utility>

#include <boost/json.hpp>

#include "lagoonspoke/core/Text.h"

namespace lagoonspoke {

namespace json = boost::json;

StreamingCall::StreamingCall(tcp::endpoint endpoint, HttpCall call, Duration bound, KeptConnection* kept)
    : m_endpoint(std::move(endpoint))
    , m_call(std::move(call))
    , m_bound(bound)
    , m_kept(kept)
{
}

asio::awaitable<void> StreamingCall::run()
{
    m_start = readMonotonicClock();
    m_result.failure = co_await exchange();
    m_stream = nullptr;
    m_result.total = readMonotonicClock() - m_start;
    m_result.complete = m_result.failure.empty() && (!m_streamed || m_sawEnd);
    m_result.done = true;
}

void StreamingCall::leave()
{
    if (m_stream) {
        m_stream->close();
    }
}

asio::awaitable<std::string> StreamingCall::exchange()
{
    if (m_kept) {
        co_return co_await exchangeOn(*m_kept);
    }
    KeptConnection connection(co_await asio::this_coro::executor);
    co_return co_await exchangeOn(connection);
}

asio::awaitable<std::string> StreamingCall::exchangeOn(KeptConnection& connection)
{
    auto& stream = connection.stream;
    m_stream = &stream;
    stream.expires_after(m_bound);
    // Unless the whole answer arrives and says otherwise, nothing more can be sent.
    if (!std::exchange(connection.open, false)) {
        connection.buffer.clear();
        if (auto [ec] = co_await stream.async_connect(m_endpoint, useTuple); ec) {
            co_return ec.message();
        }
    }
    http::request<http::string_body> request;
    request.method_string(m_call.method);
    request.target(m_call.target);
    request.version(11);
    request.set(http::field::host, m_endpoint.address().to_string());
    for (const auto& [name, value] : m_call.headers) {
        request.set(name, value);
    }
    request.body() = m_call.body;
    request.prepare_payload();
    if (auto [ec, n] = co_await http::async_write(stream, request, useTuple); ec) {
        co_return ec.message();
    }
    co_return co_await readAnswer(connection);
}

asio::awaitable<std::string> StreamingCall::readAnswer(KeptConnection& connection)
{
    auto& [stream, buffer, open] = connection;
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    if (auto [ec, n] = co_await http::async_read_header(stream, buffer, parser, useTuple); ec) {
        co_return ec.message();
    }
    m_result.status = static_cast<int>(parser.get().result_int());
    m_result.run = std::string(parser.get()["x-lagoonspoke-run"]);
    m_streamed = parser.get()[http::field::content_type].starts_with("text/event-stream");
    std::array<char, 8192> buf;
    while (!parser.is_done()) {
        auto& body = parser.get().body();
        body.data = buf.data();
        body.size = buf.size();
        auto [ec, n] = co_await http::async_read_some(stream, buffer, parser, useTuple);
        std::string_view part(buf.data(), buf.size() - body.size);
        if (m_streamed) {
            readEvents(part);
        } else {
            m_result.body += part;
        }
        if (ec && ec != http::error::need_buffer) {
            co_return ec.message();
        }
    }
    if (!m_streamed) {
        readWhole();
    }
    open = parser.keep_alive();
    co_return std::string();
}

void StreamingCall::readEvents(std::string_view part)
{
    m_pending += part;
    std::size_t end = 0;
    while ((end = m_pending.find("\n\n")) != std::string::npos) {
        std::string_view event(m_pending.data(), end);
        if (event.starts_with("data: ")) {
            readEvent(event.substr(6));
        }
        m_pending.erase(0, end + 2);
    }
}

void StreamingCall::readEvent(std::string_view data)
{
    if (data == "[DONE]") {
        m_sawEnd = true;
        return;
    }
    error_code ec;
    auto value = json::parse(json::string_view(data.data(), data.size()), ec);
    if (ec) {
        return;
    }
    if (const auto* text = value.find_pointer("/choices/0/delta/content", ec); text && text->is_string()) {
        addText(text->get_string());
    }
    if (const auto* code = value.find_pointer("/error/code", ec); code && code->is_string()) {
        m_result.code = std::string(code->get_string());
    }
}

void StreamingCall::readWhole()
{
    error_code ec;
    auto value = json::parse(m_result.body, ec);
    if (ec) {
        return;
    }
    if (const auto* text = value.find_pointer("/choices/0/message/content", ec); text && text->is_string()) {
        addText(text->get_string());
    }
    if (const auto* code = value.find_pointer("/error/code", ec); code && code->is_string()) {
        m_result.code = std::string(code->get_string());
    }
}

void StreamingCall::addText(std::string_view text)
{
    while (!text.empty()) {
        auto end = std::min(text.find(' '), text.size());
        auto word = text.substr(0, end);
        auto number = word.starts_with('t') ? parseNumber<std::int64_t>(word.substr(1)) : std::nullopt;
        m_result.inOrder = m_result.inOrder && number == m_result.tokens;
        noteToken();
        text.remove_prefix(std::min(end + 1, text.size()));
    }
}

void StreamingCall::noteToken()
{
    auto now = readMonotonicClock();
    if (m_result.tokens++ == 0) {
        m_result.firstToken = now - m_start;
    } else {
        m_result.longestGap = std::max(m_result.longestGap, now - m_lastToken);
        m_result.gapSum += now - m_lastToken;
    }
    m_lastToken = now;
}

} // namespace lagoonspoke
