#include "daemon/TunnelServer.h"

#include <catch2/catch.hpp>

#include "entry/ServerConnector.h"
#include "http/Endpoint.h"
#include "wire/Tunnel.h"

namespace lagoonspoke {

using namespace std::chrono_literals;

namespace {

// An instance that a server's address does not lead to the server, and a peer that reaches it.
struct TunnelBed {
    TunnelBed()
        : listener(io, *parseEndpoint("127.0.0.1:0"))
        , peer(io, *parseEndpoint("127.0.0.1:0"))
        , tunnels(io, { [this](const std::string& it) {
            return it == address ? std::optional(listener.local_endpoint()) : std::nullopt;
        } })
        , connector(io.get_executor())
    {
        // Nothing listens there any more.
        tcp::acceptor closed(io, *parseEndpoint("127.0.0.1:0"));
        address = formatEndpoint(closed.local_endpoint());
        connector.setPeers({ peer.local_endpoint() });
        asio::co_spawn(io, acceptTunnels(), asio::detached);
    }

    ~TunnelBed()
    {
        tunnels.stop();
        peer.close();
        listener.close();
        io.poll();
    }

    asio::awaitable<void> acceptTunnels()
    {
        while (true) {
            auto [ec, socket] = co_await peer.async_accept(useTuple);
            if (ec) {
                co_return;
            }
            FrameDecoder decoder;
            std::array<char, 1024> buf;
            auto [readError, n] = co_await socket.async_read_some(asio::buffer(buf), useTuple);
            decoder.append({ buf.data(), n });
            auto frame = decoder.next();
            tunnels.serve(std::move(socket), *tunnelPayload(**frame));
        }
    }

    // The server reads the beginning of one request, sends the text and ends the connection; with a reset if it is to
    // break.
    asio::awaitable<void> answerOnce(std::string text, bool breaks)
    {
        auto [ec, socket] = co_await listener.async_accept(useTuple);
        std::array<char, 1024> buf;
        auto [readError, n] = co_await socket.async_read_some(asio::buffer(buf), useTuple);
        request.assign(buf.data(), n);
        co_await asio::async_write(socket, asio::buffer(text), useTuple);
        if (breaks) {
            // What was sent is read before the reset arrives, and an upload fills the buffers.
            asio::steady_timer pause(io, uploadBytes > 0 ? 300ms : 50ms);
            co_await pause.async_wait(useTuple);
            socket.set_option(asio::socket_base::linger(true, 0));
            socket.close();
        }
    }

    asio::awaitable<void> call()
    {
        BackendConnection connection(io.get_executor(), address);
        reach = co_await connector.connect(connection, 2s);
        if (reach != Reach::ThroughPeer) {
            co_return;
        }
        connection.startRequest();
        std::size_t written = 0;
        const std::string upload(uploadBytes, 'u');
        co_await connection.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n", upload, written, 2s);
        error = co_await connection.readHead(false, 2s);
        while (!error) {
            std::string part;
            error = co_await connection.readSome(part, 2s);
            body += part;
            if (part.empty()) {
                break;
            }
        }
        reusable = !error && connection.isReusable();
    }

    void run(const std::string& answer, bool breaks = false)
    {
        bool done = false;
        asio::co_spawn(io, answerOnce(answer, breaks), asio::detached);
        asio::co_spawn(io, call(), [&](const std::exception_ptr&) { done = true; });
        auto end = std::chrono::steady_clock::now() + 20s;
        while (!done && std::chrono::steady_clock::now() < end) {
            io.run_one_for(50ms);
        }
        REQUIRE(done);
    }

    asio::io_context io;
    tcp::acceptor listener;
    tcp::acceptor peer;
    std::string address;
    TunnelServer tunnels;
    ServerConnector connector;
    std::size_t uploadBytes = 0;
    Reach reach = Reach::Unknown;
    std::string request;
    std::string body;
    error_code error;
    bool reusable = false;
};

} // namespace

// Guards against callers of an instance that is cut off from the servers being served by nobody.
TEST_CASE("a server that this instance does not reach answers through a peer")
{
    TunnelBed bed;
    bed.run("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
    CHECK(bed.reach == Reach::ThroughPeer);
    CHECK(bed.request.starts_with("GET / HTTP/1.1"));
    CHECK(bed.body == "hello");
    CHECK_FALSE(bed.error);
    CHECK(bed.connector.isCutOff(bed.address));
}

TEST_CASE("answers in chunks and interim answers pass a tunnel")
{
    TunnelBed bed;
    bed.run("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    CHECK(bed.body == "abcde");
    CHECK_FALSE(bed.error);
}

// Guards against an answer without a length that looks whole although its connection broke behind the peer.
TEST_CASE("the end of a server's connection is told from its reset behind a peer")
{
    bool breaks = GENERATE(false, true);
    TunnelBed bed;
    bed.run("HTTP/1.1 200 OK\r\n\r\nhello", breaks);
    CHECK(bed.body == "hello");
    CHECK(bed.error.failed() == breaks);
    CHECK_FALSE(bed.reusable);
}

// Guards against the same where the reset arrives while the peer writes an upload to the server: the write takes the
// error, and reads end as if the server had closed the connection.
TEST_CASE("a reset of a server during an upload shows behind a peer")
{
    TunnelBed bed;
    bed.listener.set_option(asio::socket_base::receive_buffer_size(32 << 10));
    bed.uploadBytes = 4 << 20;
    SECTION("after a part of an answer without a length")
    {
        bed.run("HTTP/1.1 200 OK\r\n\r\nhello", true);
        CHECK(bed.body == "hello");
        CHECK(bed.error);
    }
    SECTION("after a part of an answer in chunks")
    {
        bed.run("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", true);
        CHECK(bed.error);
    }
    SECTION("before an answer")
    {
        bed.run("", true);
        CHECK(bed.error);
    }
    SECTION("a whole answer with a length is delivered")
    {
        bed.run("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", true);
        CHECK(bed.body == "hello");
        CHECK_FALSE(bed.error);
    }
}

// Guards against whole answers that are lost because their server ends the connection before it has read the upload.
TEST_CASE("an early answer without a length is whole behind a peer if its server ended it")
{
    TunnelBed bed;
    bool done = false;
    asio::co_spawn(
        bed.io,
        [&]() -> asio::awaitable<void> {
            auto [ec, socket] = co_await bed.listener.async_accept(useTuple);
            co_await asio::async_write(socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\nhello")), useTuple);
            error_code ignored;
            socket.shutdown(tcp::socket::shutdown_send, ignored);
            asio::steady_timer pause(bed.io, 300ms);
            co_await pause.async_wait(useTuple);
        },
        asio::detached);
    bed.uploadBytes = 4 << 20;
    asio::co_spawn(bed.io, bed.call(), [&](const std::exception_ptr&) { done = true; });
    while (!done) {
        bed.io.run_one_for(50ms);
    }
    CHECK(bed.body == "hello");
    CHECK_FALSE(bed.error);
}

// Guards against the same where the peer's process ends: the kernel then closes its connections as if they were done.
TEST_CASE("an answer without a length is not whole if the peer ends")
{
    TunnelBed bed;
    asio::steady_timer timer(bed.io, 100ms);
    timer.async_wait([&](error_code) { bed.tunnels.stop(); });
    asio::co_spawn(
        bed.io,
        [&]() -> asio::awaitable<void> {
            auto [ec, socket] = co_await bed.listener.async_accept(useTuple);
            co_await asio::async_write(socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\nhel")), useTuple);
            asio::steady_timer open(bed.io, 1s);
            co_await open.async_wait(useTuple);
        },
        asio::detached);
    bool done = false;
    asio::co_spawn(bed.io, bed.call(), [&](const std::exception_ptr&) { done = true; });
    while (!done) {
        bed.io.run_one_for(50ms);
    }
    CHECK(bed.body == "hel");
    CHECK(bed.error);
}

// Guards against instances that connect to anything for whoever reaches their peer address, and against servers that
// are down being taken for ones that this instance is cut off from.
TEST_CASE("a peer opens tunnels to servers only, and says if it does not reach one")
{
    TunnelBed bed;
    SECTION("no server has the address")
    {
        auto other = std::exchange(bed.address, "none");
        BackendConnection connection(bed.io.get_executor(), other);
        std::optional<Reach> reach;
        asio::co_spawn(
            bed.io, bed.connector.connect(connection, 2s), [&](const std::exception_ptr&, Reach it) { reach = it; });
        while (!reach) {
            bed.io.run_one_for(50ms);
        }
        CHECK(*reach == Reach::Nobody);
    }
    SECTION("the server is down")
    {
        TunnelServer down(bed.io, { [&](const std::string&) { return std::optional(*parseEndpoint(bed.address)); } });
        BackendConnection connection(bed.io.get_executor(), bed.address);
        std::optional<TunnelOutcome> outcome;
        tcp::acceptor peer(bed.io, *parseEndpoint("127.0.0.1:0"));
        asio::co_spawn(
            bed.io,
            [&]() -> asio::awaitable<void> {
                auto [ec, socket] = co_await peer.async_accept(useTuple);
                down.serve(std::move(socket), bed.address);
            },
            asio::detached);
        asio::co_spawn(bed.io, connection.connectThrough(peer.local_endpoint(), 2s),
            [&](const std::exception_ptr&, TunnelOutcome it) { outcome = it; });
        while (!outcome) {
            bed.io.run_one_for(50ms);
        }
        CHECK(*outcome == TunnelOutcome::ServerUnreachable);
    }
}

// Guards against a chain of instances that are all cut off, each waiting for the next.
TEST_CASE("an instance that is cut off itself refuses tunnels at once")
{
    TunnelBed bed;
    bed.tunnels.setCutOff(true);
    bed.run("");
    CHECK(bed.reach == Reach::Unknown);
}

} // namespace lagoonspoke
