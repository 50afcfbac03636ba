// Streams of completions in which an engine puts bytes that are no event of them.
#include "entry/CallerServiceFixture.h"

namespace lagoonspoke::testing {

// Guards against bytes of no run that reach the caller as events, and against tokens lost to them.
TEST_CASE("a completion's stream continues on another engine after bytes that are no event")
{
    auto bytes = GENERATE(as<std::string> {}, "data: no JSON\n\n", "data: 17\n\n", "HTTP/1.1 200 OK\r\nx: y\r\n\r\n",
        "\x01\x02\n\n", "hello\ndata: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n");
    CAPTURE(bytes);
    Fixture f;
    f.first.add({ Send { std::string(streamHead) }, Send { token("a") + chunk(bytes) + token("b") }, Hold {} });
    f.second.add({ Send { std::string(streamHead) }, Send { token("c") + chunk("data: [DONE]\n\n") + "0\r\n\r\n" } });
    f.run([&]() -> asio::awaitable<void> {
        auto response = co_await f.ask(completion("", streamBody));
        auto at = response.find("\"a\"");
        CHECK(at != std::string::npos);
        CHECK(response.find("\"c\"", at) != std::string::npos);
        CHECK_FALSE(contains(response, bytes));
        CHECK_FALSE(contains(response, "\"b\""));
        CHECK(endsComplete(response));
    });
    REQUIRE(f.second.requests.size() == 1);
    CHECK(contains(f.second.requests[0], "x-resume-after: 1\r\n"));
    REQUIRE(f.finished.size() == 2);
    CHECK(f.finished[0].outcome == FinishOutcome::ServerFailed);
}

// Guards against a second end marker, or another answer, that is passed on behind the end of a completion's stream.
TEST_CASE("nothing behind the end marker of a completion's stream is passed on")
{
    Fixture f;
    f.first.add({ Send { std::string(streamHead) },
        Send { token("a") + chunk("data: [DONE]\n\ndata: [DONE]\n\n") + token("b") + "0\r\n\r\n" }, Hold {} });
    f.run([&]() -> asio::awaitable<void> {
        auto response = co_await f.ask(completion("", streamBody));
        auto end = response.find("[DONE]");
        CHECK(end != std::string::npos);
        CHECK(response.find("[DONE]", end + 1) == std::string::npos);
        CHECK_FALSE(contains(response, "\"b\""));
        CHECK(endsComplete(response));
    });
    CHECK(f.finished.size() == 1);
}

} // namespace lagoonspoke::testing
