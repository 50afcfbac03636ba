#include "http/HttpServer.h"

#include <array>
#include <functional>
#include <string>

#include <catch2/catch.hpp>

namespace lagoonspoke {

namespace {

using Handler = std::function<asio::awaitable<void>(HttpExchange&)>;

asio::awaitable<void> giveNothing(HttpExchange&)
{
    co_return;
}

asio::awaitable<void> givePartOfStream(HttpExchange& exchange)
{
    co_await exchange.startStream(http::status::ok, "text/plain");
    co_await exchange.writeChunk("part");
}

asio::awaitable<void> givePartOfBody(HttpExchange& exchange)
{
    co_await exchange.startSized(http::status::ok, "text/plain", 8);
    co_await exchange.writeBytes("part");
}

asio::awaitable<void> giveStream(HttpExchange& exchange)
{
    co_await givePartOfStream(exchange);
    co_await exchange.finishStream();
}

asio::awaitable<void> giveBody(HttpExchange& exchange)
{
    co_await givePartOfBody(exchange);
    co_await exchange.writeBytes("more");
}

asio::awaitable<void> respond(HttpExchange& exchange)
{
    co_await exchange.respond(http::status::ok, "text/plain", "whole");
}

// Whether a connection stays open after the response to a request.
bool keepsConnection(Handler handler, std::string_view method)
{
    asio::io_context io;
    const tcp::endpoint loopback(asio::ip::address_v4::loopback(), 0);
    auto server = *HttpServer::Make(io, loopback, {}, std::move(handler));
    server->start();
    tcp::socket caller(io);
    bool isOpen = true;
    auto ask = [&]() -> asio::awaitable<void> {
        co_await caller.async_connect(server->endpoint(), useTuple);
        auto request = std::string(method) + " / HTTP/1.1\r\nhost: x\r\n\r\n";
        co_await asio::async_write(caller, asio::buffer(request), useTuple);
        std::array<char, 1024> part;
        while (isOpen) {
            auto [ec, n] = co_await caller.async_read_some(asio::buffer(part), useTuple);
            isOpen = !ec;
        }
    };
    asio::co_spawn(io, ask(), asio::detached);
    io.run_for(std::chrono::milliseconds(500));
    auto result = isOpen;
    server.reset();
    caller.close();
    io.restart();
    io.run_for(std::chrono::milliseconds(10));
    return result;
}

} // namespace

// Guards against a caller that waits for the rest of a response whose handler has ended.
TEST_CASE("a connection closes when a handler ends without a whole response")
{
    CHECK_FALSE(keepsConnection(giveNothing, "GET"));
    CHECK_FALSE(keepsConnection(givePartOfStream, "GET"));
    CHECK_FALSE(keepsConnection(givePartOfBody, "GET"));
}

// Guards against a new connection for each request.
TEST_CASE("a connection stays open after a whole response")
{
    CHECK(keepsConnection(giveStream, "GET"));
    CHECK(keepsConnection(giveBody, "GET"));
    CHECK(keepsConnection(respond, "GET"));
    CHECK(keepsConnection(respond, "HEAD"));
}

} // namespace lagoonspoke
