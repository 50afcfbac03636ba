// Responses that have started when the deadline of their request passes.
#include "entry/CallerServiceFixture.h"

namespace lagoonspoke::testing {

namespace {

using namespace std::chrono_literals;

constexpr Duration deadline = 300ms;
const std::string begin = std::string(streamHead) + token("a");
const std::string streamEnd = chunk("data: [DONE]\n\n") + "0\r\n\r\n";

struct LateFixture : Fixture {
    LateFixture()
    {
        auto configuration = makeSnapshot(true)->configuration();
        configuration.number = 3;
        auto& spec = configuration.classes.at(ClassName("chat"));
        spec.deadline = deadline;
        spec.tokenGapTarget = 100ms;
        service->applySnapshot(ConfigurationSnapshot::Make(std::move(configuration)));
    }
};

} // namespace

// Guards against callers that wait for a stream beyond its deadline, although the machine of its server is gone.
TEST_CASE("a stream ends after its deadline when its server is gone")
{
    LateFixture f;
    f.first.add({ Send { begin }, Hold {} });
    std::string response;
    Duration time {};
    f.run([&]() -> asio::awaitable<void> {
        RawCaller caller(f.io);
        co_await caller.connect(f.server->endpoint());
        auto start = readMonotonicClock();
        co_await caller.send(completion("connection: close\r\n", streamBody));
        co_await caller.readUntil("\"a\"");
        f.first.goSilent();
        response = co_await caller.readAll();
        time = readMonotonicClock() - start;
    });
    CHECK(contains(response, "deadline_passed"));
    CHECK_FALSE(endsComplete(response));
    CHECK(time >= deadline);
    // Without the check, the stream would be held for the time between tokens.
    CHECK(time < f.settings.tokenGapTimeout / 2);
    CHECK(f.first.heldClosed == 1);
}

// Guards against a stream that is cut although its server goes on with it.
TEST_CASE("a stream may pause beyond its deadline while its server can be reached")
{
    LateFixture f;
    f.first.add({ Send { begin }, Work { 1500ms }, Send { token("b") + streamEnd } });
    f.run([&]() -> asio::awaitable<void> {
        auto response = co_await f.ask(completion("", streamBody));
        CHECK(contains(response, "\"b\""));
        CHECK(endsComplete(response));
    });
    CHECK(f.first.requests.size() == 1);
}

// Guards against a stream that is cut as its caller reads slowly.
TEST_CASE("a stream goes on beyond its deadline while its caller reads slowly")
{
    constexpr std::size_t events = 256;
    LateFixture f;
    std::string large(64 << 10, 'x');
    std::string stream(streamHead);
    for (std::size_t i = 0; i < events; ++i) {
        stream += token(large);
    }
    f.first.add({ Send { stream + streamEnd }, Hold {} });
    f.run([&]() -> asio::awaitable<void> {
        RawCaller caller(f.io);
        co_await caller.connect(f.server->endpoint());
        co_await caller.send(completion("", streamBody));
        asio::steady_timer timer(f.io, 2 * deadline);
        co_await timer.async_wait(useTuple);
        f.first.goSilent();
        timer.expires_after(500ms);
        co_await timer.async_wait(useTuple);
        auto response = co_await caller.readBytes(events * large.size());
        CHECK(response.size() >= events * large.size());
    });
    CHECK(f.first.requests.size() == 1);
}

} // namespace lagoonspoke::testing
