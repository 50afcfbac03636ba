// Connections that end without an answer, and what the dispatcher is told of their servers.
#include "entry/CallerServiceFixture.h"

namespace lagoonspoke::testing {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view request = "GET /open/a HTTP/1.1\r\nhost: x\r\n\r\n";

// What is reported of the first backend server's attempt, which ends with the step.
FinishOutcome outcomeOf(Duration work, Step end)
{
    Fixture f;
    f.first.add({ Work { work }, end });
    f.second.add({ Send { wholeAnswer("whole") } });
    f.run([&]() -> asio::awaitable<void> {
        auto response = co_await f.ask(std::string(request));
        CHECK(response.ends_with("whole"));
    });
    REQUIRE(f.finished.size() == 2);
    return f.finished[0].outcome;
}

} // namespace

// Guards against a request that is quarantined because servers that go on closed its connections.
TEST_CASE("a server that closes a connection and takes new ones has not died")
{
    auto work = GENERATE(as<Duration> {}, 0ms, 20ms);
    CHECK(outcomeOf(work, Close {}) == FinishOutcome::Disconnected);
    CHECK(outcomeOf(work, Reset {}) == FinishOutcome::Disconnected);
}

// Guards against a request that goes on to crash servers because their deaths are not noticed.
TEST_CASE("a server that takes no new connection after one broke has died")
{
    CHECK(outcomeOf(0ms, Crash {}) == FinishOutcome::ServerDied);
    CHECK(outcomeOf(20ms, Crash {}) == FinishOutcome::ServerDied);
}

// Guards against a check of a server whose connection the router itself broke off: it costs the server a connection.
TEST_CASE("a caller that leaves causes no new connection to the server")
{
    Fixture f;
    f.first.add({ Hold {} });
    f.run([&]() -> asio::awaitable<void> {
        RawCaller caller(f.io);
        co_await caller.connect(f.server->endpoint());
        co_await caller.send(std::string(request));
        co_await f.until([&] { return f.first.requests.size() == 1; });
        caller.close();
        co_await f.until([&] { return f.finished.size() == 1; });
    });
    CHECK(f.finished[0].outcome == FinishOutcome::CallerLeft);
    CHECK(f.first.connections == 1);
}

} // namespace lagoonspoke::testing
