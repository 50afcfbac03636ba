#include "http/HttpClient.h"

namespace lagoonspoke {

std::string_view HttpReply::header(std::string_view lowerCaseName) const
{
    for (const auto& [name, value] : headers) {
        if (name == lowerCaseName) {
            return value;
        }
    }
    return {};
}

namespace {

http::request<http::string_body> makeRequest(const tcp::endpoint& endpoint, HttpCall call, bool keepAlive)
{
    http::request<http::string_body> request;
    request.method_string(call.method);
    request.target(call.target);
    request.version(11);
    request.set(http::field::host, endpoint.address().to_string());
    for (const auto& [name, value] : call.headers) {
        request.set(name, value);
    }
    request.keep_alive(keepAlive);
    request.body() = std::move(call.body);
    request.prepare_payload();
    return request;
}

HttpReply makeReply(http::response<http::string_body>&& response)
{
    HttpReply reply;
    reply.keepAlive = response.keep_alive();
    reply.status = static_cast<int>(response.result_int());
    reply.headers = copyHeaders(response);
    reply.body = std::move(response.body());
    return reply;
}

asio::awaitable<Outcome<HttpReply>> exchange(beast::tcp_stream& stream, beast::flat_buffer& buffer,
    http::request<http::string_body> request, std::size_t maxReplyBytes)
{
    if (auto [ec, n] = co_await http::async_write(stream, request, useTuple); ec) {
        co_return makeError(ErrorCode::TimedOut, ec.message());
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxReplyBytes);
    if (auto [ec, n] = co_await http::async_read(stream, buffer, parser, useTuple); ec) {
        auto code = ec == beast::error::timeout ? ErrorCode::TimedOut : ErrorCode::ProtocolViolation;
        co_return makeError(code, ec.message());
    }
    co_return makeReply(parser.release());
}

} // namespace

asio::awaitable<Outcome<HttpReply>> callHttp(
    tcp::endpoint endpoint, HttpCall call, std::chrono::nanoseconds bound, std::size_t maxReplyBytes)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(bound);
    if (auto [ec] = co_await stream.async_connect(endpoint, useTuple); ec) {
        co_return makeError(ErrorCode::Unavailable, ec.message());
    }
    beast::flat_buffer buffer;
    co_return co_await exchange(stream, buffer, makeRequest(endpoint, std::move(call), false), maxReplyBytes);
}

asio::awaitable<Outcome<HttpReply>> callOn(beast::tcp_stream& stream, beast::flat_buffer& buffer,
    tcp::endpoint endpoint, HttpCall call, std::chrono::nanoseconds bound, std::size_t maxReplyBytes)
{
    stream.expires_after(bound);
    co_return co_await exchange(stream, buffer, makeRequest(endpoint, std::move(call), true), maxReplyBytes);
}

} // namespace lagoonspoke
