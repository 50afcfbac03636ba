#include "entry/CallerServiceFixture.h"

namespace lagoonspoke::testing {

namespace {

int countAnswers(std::string_view text)
{
    constexpr std::string_view start = "HTTP/1.1 ";
    int count = 0;
    for (auto at = text.find(start); at != std::string_view::npos; at = text.find(start, at + 1)) {
        ++count;
    }
    return count;
}

// What a caller gets that sends bytes and keeps its connection open.
asio::awaitable<std::string> askKept(Fixture& f, std::string bytes)
{
    RawCaller caller(f.io);
    co_await caller.connect(f.server->endpoint());
    co_await caller.send(std::move(bytes));
    co_return co_await caller.readAll();
}

constexpr std::string_view nextRequest
    = "GET /app/smuggled HTTP/1.1\r\nhost: h\r\nauthorization: Bearer key-1234567890\r\n\r\n";

} // namespace

// Guards against request smuggling: the body of a request whose end is not known was read as the next request.
TEST_CASE("a request whose end is not known is refused and its connection is closed")
{
    Fixture f;
    f.run([&]() -> asio::awaitable<void> {
        for (const auto* encoding : { "xchunked", "gzip", "chunked, identity", "identity" }) {
            auto answer = co_await askKept(f,
                fmt::format("POST /app/x HTTP/1.1\r\nhost: h\r\nauthorization: Bearer key-1234567890\r\n"
                            "transfer-encoding: {}\r\n\r\n{}",
                    encoding, nextRequest));
            REQUIRE(countAnswers(answer) == 1);
            REQUIRE(contains(answer, "HTTP/1.1 501"));
        }
    });
    REQUIRE(f.placed.empty());
}

// Guards against two proxies that read the same bytes as different requests.
TEST_CASE("a request with a length and an encoding is refused and its connection is closed")
{
    Fixture f;
    f.run([&]() -> asio::awaitable<void> {
        auto answer = co_await askKept(f,
            fmt::format("POST /app/x HTTP/1.1\r\nhost: h\r\nauthorization: Bearer key-1234567890\r\n"
                        "content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n{}",
                nextRequest));
        REQUIRE(countAnswers(answer) == 1);
        REQUIRE(contains(answer, "HTTP/1.1 400"));
    });
    REQUIRE(f.placed.empty());
}

// Guards against a route that is selected by a host of which there are two, or none.
TEST_CASE("a request without exactly one host is malformed")
{
    Fixture f;
    f.run([&]() -> asio::awaitable<void> {
        for (const auto* hosts : { "", "host: a\r\nhost: b\r\n", "host: a\r\nhost: a\r\n" }) {
            auto answer = co_await askKept(f,
                fmt::format(
                    "GET /app/x HTTP/1.1\r\n{}authorization: Bearer key-1234567890\r\n\r\n{}", hosts, nextRequest));
            REQUIRE(countAnswers(answer) == 1);
            REQUIRE(contains(answer, "HTTP/1.1 400"));
        }
    });
    REQUIRE(f.placed.empty());
}

// Guards against a key that reaches a backend server under another spelling.
TEST_CASE("a key in the target is refused however it is encoded")
{
    Fixture f;
    f.run([&]() -> asio::awaitable<void> {
        for (const auto* spelling :
            { "key-1234567890", "%6bey-1234567890", "%6B%65%79-1234567890", "key%2D1234567890" }) {
            auto answer = co_await f.ask(fmt::format(
                "GET /app/x?token={} HTTP/1.1\r\nhost: h\r\nauthorization: Bearer key-1234567890\r\n\r\n", spelling));
            REQUIRE(contains(answer, "key_in_request"));
        }
    });
    REQUIRE(f.placed.empty());
}

} // namespace lagoonspoke::testing
