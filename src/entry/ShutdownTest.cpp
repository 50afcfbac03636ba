// Requests of an instance that is told to end and killed some time later.
#include "entry/CallerServiceFixture.h"

namespace lagoonspoke::testing {

using namespace std::chrono_literals;

namespace {

constexpr std::string_view order = "POST /open/order HTTP/1.1\r\nhost: x\r\nx-idempotent: false\r\n"
                                   "content-length: 2\r\n\r\n{}";

struct Shutdown : Fixture {
    using Fixture::Fixture;

    // Lets the estimate of the class know runs of that time.
    asio::awaitable<void> learnRuns(Duration lasts)
    {
        for (int i = 0; i < 12; ++i) {
            first.add({ Work { lasts }, Send { wholeAnswer("run") } });
            co_await ask(std::string(order));
        }
        first.requests.clear();
    }

    void begin(Duration left)
    {
        service->setRequestsEnd(readMonotonicClock() + left);
        asio::co_spawn(io, poll(), asio::detached);
    }

    asio::awaitable<void> poll()
    {
        asio::steady_timer timer(io);
        while (true) {
            service->endLateRequests();
            timer.expires_after(5ms);
            co_await timer.async_wait(useTuple);
        }
    }
};

} // namespace

// Guards against a request that waits for a slot until the process is killed: it got no answer at all.
TEST_CASE("A request that waits for a backend server is refused while its run could still not end in time")
{
    Shutdown f;
    f.run([&]() -> asio::awaitable<void> {
        co_await f.learnRuns(100ms);
        f.granting = false;
        auto start = readMonotonicClock();
        f.begin(1s);
        auto response = co_await f.ask(std::string(order));
        auto took = readMonotonicClock() - start;
        CHECK(contains(response, "HTTP/1.1 503"));
        CHECK(contains(response, "x-lagoonspoke-run: not-run"));
        CHECK(contains(response, "shutting_down"));
        CHECK(took < 1s);
        // It is not refused much sooner than its run takes.
        CHECK(took > 400ms);
        CHECK(f.withdrawn.size() == 1);
    });
    CHECK(f.first.requests.empty());
}

// Guards against a request that may run once and is cut by the end of the process, as its run takes longer than that.
TEST_CASE("A request that would not end before the process does is not passed on")
{
    Shutdown f;
    f.run([&]() -> asio::awaitable<void> {
        co_await f.learnRuns(100ms);
        f.begin(60ms);
        auto response = co_await f.ask(std::string(order));
        CHECK(contains(response, "HTTP/1.1 503"));
        CHECK(contains(response, "x-lagoonspoke-run: not-run"));
    });
    CHECK(f.first.requests.empty());
    CHECK(f.placed.size() == 12);
}

// Guards against refusals of requests that there is time for.
TEST_CASE("A request that is expected to end before the process does is served in a shutdown")
{
    Shutdown f;
    f.run([&]() -> asio::awaitable<void> {
        co_await f.learnRuns(50ms);
        f.begin(1s);
        f.first.add({ Work { 50ms }, Send { wholeAnswer("late") } });
        auto response = co_await f.ask(std::string(order));
        CHECK(contains(response, "HTTP/1.1 200"));
        CHECK(response.ends_with("late"));
    });
}

// Guards against a promise for a request that runs, and against a connection that ends without an answer.
TEST_CASE("What still runs at the end of a shutdown gets an answer that promises nothing")
{
    Shutdown f;
    f.run([&]() -> asio::awaitable<void> {
        co_await f.learnRuns(20ms);
        f.first.add({ Hold {} });
        f.begin(300ms);
        auto response = co_await f.ask(std::string(order));
        CHECK(contains(response, "x-lagoonspoke-run: unknown"));
        CHECK(contains(response, "shutting_down"));
    });
    CHECK(f.first.requests.size() == 1);
    CHECK(f.second.requests.empty());
}

// Guards against a shutdown that waits for a body until the process is killed.
TEST_CASE("A request whose body is still being sent at the end of a shutdown is refused")
{
    Shutdown f;
    f.run([&]() -> asio::awaitable<void> {
        f.begin(200ms);
        RawCaller caller(f.io);
        co_await caller.connect(f.server->endpoint());
        co_await caller.send("POST /open/order HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n{");
        auto response = co_await caller.readUntil("\"run\"");
        CHECK(contains(response, "HTTP/1.1 503"));
        CHECK(contains(response, "x-lagoonspoke-run: not-run"));
        CHECK(contains(response, "Connection: close"));
    });
}

} // namespace lagoonspoke::testing
