#include "http/HttpChannel.h"

#include <catch2/catch.hpp>

#include "http/Endpoint.h"

namespace lagoonspoke {

using namespace std::chrono_literals;

namespace {

// Answers each request after 20 ms, but none on the connections that were silenced.
struct ChannelBed {
    ChannelBed()
        : acceptor(io, *parseEndpoint("127.0.0.1:0"))
        , channel(acceptor.local_endpoint())
    {
        asio::co_spawn(io, acceptAll(), asio::detached);
    }
    ~ChannelBed()
    {
        acceptor.close();
        channel.closeConnections();
        io.poll();
    }

    asio::awaitable<void> acceptAll()
    {
        while (true) {
            auto [ec, socket] = co_await acceptor.async_accept(useTuple);
            if (ec) {
                co_return;
            }
            asio::co_spawn(io, serve(std::move(socket), accepted++), asio::detached);
        }
    }
    asio::awaitable<void> serve(tcp::socket socket, int number)
    {
        std::array<char, 1024> buf;
        while (true) {
            auto [ec, n] = co_await socket.async_read_some(asio::buffer(buf), useTuple);
            if (ec) {
                co_return;
            }
            asio::steady_timer timer(io, 20ms);
            co_await timer.async_wait(useTuple);
            if (number >= silenced) {
                std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                co_await asio::async_write(socket, asio::buffer(reply), useTuple);
            }
        }
    }
    // Makes so many calls at the same time; gives how many were answered.
    int callAtOnce(int calls)
    {
        int done = 0;
        int answered = 0;
        for (int i = 0; i < calls; ++i) {
            asio::co_spawn(
                io, channel.call(HttpCall(), 300ms), [&](const std::exception_ptr&, Outcome<HttpReply> reply) {
                    ++done;
                    answered += reply ? 1 : 0;
                });
        }
        while (done < calls) {
            io.run_one_for(50ms);
        }
        return answered;
    }

    asio::io_context io;
    tcp::acceptor acceptor;
    HttpChannel channel;
    int accepted = 0;
    int silenced = 0; // connections with lower numbers get no answers
};

} // namespace

// Guards against kept connections that went silent without their end, each of which costs a call its whole bound.
TEST_CASE("after one silent connection no other kept one is used")
{
    ChannelBed bed;
    REQUIRE(bed.callAtOnce(3) == 3);
    bed.silenced = bed.accepted;
    CHECK(bed.callAtOnce(1) == 0);
    CHECK(bed.callAtOnce(1) == 1);
    CHECK(bed.accepted == 4);
    // A connection that works is still kept.
    CHECK(bed.callAtOnce(1) == 1);
    CHECK(bed.accepted == 4);
}

} // namespace lagoonspoke
