#include "entry/CallerServiceFixture.h"

namespace lagoonspoke::testing {

// Guards against a truncated answer that reaches the caller as if it were whole.
TEST_CASE("a truncated answer is repeated on another backend server")
{
    Fixture f;
    auto half = wholeAnswer(R"({"half":1})");
    f.first.add({ Send { half.substr(0, half.size() - 4) }, Close {} });
    f.second.add({ Send { wholeAnswer(R"({"whole":1})") } });
    f.run([&]() -> asio::awaitable<void> {
        auto response = co_await f.ask(completion("", plainBody));
        REQUIRE(contains(response, "HTTP/1.1 200 OK"));
        REQUIRE(contains(response, "Content-Length: 11"));
        REQUIRE(response.ends_with(R"({"whole":1})"));
        REQUIRE_FALSE(contains(response, "half"));
    });
    REQUIRE(f.finished.size() == 2);
    // It still takes connections.
    REQUIRE(f.finished[0].outcome == FinishOutcome::Disconnected);
    REQUIRE(f.finished[1].outcome == FinishOutcome::Completed);
}

// Guards against a stream that loses or repeats tokens when its engine dies.
TEST_CASE("a stream continues on another engine after the tokens already sent")
{
    Fixture f;
    auto torn = token("c");
    f.first.add({ Send { std::string(streamHead) }, Send { token("a") + token("b") + torn.substr(0, 20) }, Close {} });
    auto role = chunk("data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n");
    f.second.add({ Send { std::string(streamHead) }, Send { role + token("c") },
        Send { chunk("data: [DONE]\n\n") + "0\r\n\r\n" } });
    f.run([&]() -> asio::awaitable<void> {
        auto response = co_await f.ask(completion("", streamBody));
        auto a = response.find("\"a\"");
        auto b = response.find("\"b\"");
        auto c = response.find("\"c\"");
        REQUIRE(a < b);
        REQUIRE(b < c);
        REQUIRE(c != std::string::npos);
        REQUIRE(response.find("\"c\"", c + 1) == std::string::npos);
        REQUIRE_FALSE(contains(response, "assistant"));
        REQUIRE(contains(response, "data: [DONE]"));
        REQUIRE(endsComplete(response));
    });
    REQUIRE(contains(f.second.requests.at(0), "x-resume-after: 2\r\n"));
    REQUIRE(f.finished.back().outputTokens == Tokens { 3 });
}

// Guards against a stream without its end marker that looks complete.
TEST_CASE("a stream that ends without [DONE] is visibly truncated")
{
    Fixture f;
    f.first.add({ Send { std::string(streamHead) }, Send { token("a") + "0\r\n\r\n" }, Hold {} });
    f.run([&]() -> asio::awaitable<void> {
        f.second.add({ Close {} });
        auto response = co_await f.ask(completion("", streamBody));
        REQUIRE(contains(response, "\"a\""));
        REQUIRE(contains(response, "event: error"));
        REQUIRE(contains(response, "\"run\":\"unknown\""));
        REQUIRE_FALSE(contains(response, "[DONE]"));
        REQUIRE_FALSE(endsComplete(response));
    });
}

// Guards against giving a caller the answer of another request.
TEST_CASE("an answer that does not echo the request id is refused")
{
    Fixture f;
    f.first.add({ Send { wholeAnswer(R"({"other":1})", "t-999") } });
    f.second.add({ Send { wholeAnswer(R"({"other":1})", "t-998") } });
    f.run([&]() -> asio::awaitable<void> {
        auto response = co_await f.ask(completion("", plainBody));
        REQUIRE_FALSE(contains(response, "other"));
        REQUIRE(contains(response, "x-lagoonspoke-run: unknown"));
    });
    REQUIRE(f.service->idleBackendConnections() == 0);
}

// Guards against a pool that gives the rest of one response to the next request.
TEST_CASE("only a connection with a clean end is pooled")
{
    Fixture f;
    f.first.add({ Send { wholeAnswer("{}") + "HTTP/1.1 200 OK\r\n" } });
    f.first.add({ Send { wholeAnswer("{}") } });
    f.first.add({ Send { wholeAnswer(R"({"third":1})") } });
    f.run([&]() -> asio::awaitable<void> {
        co_await f.ask(completion("", plainBody));
        REQUIRE(f.service->idleBackendConnections() == 0);
        co_await f.ask(completion("", plainBody));
        REQUIRE(f.service->idleBackendConnections() == 1);
        auto response1 = co_await f.ask(completion("", plainBody));
        REQUIRE(contains(response1, "third"));
    });
    REQUIRE(f.first.connections == 2);
}

// Guards against a side effect that happens twice.
TEST_CASE("a non-idempotent request is sent once over a fresh connection")
{
    Fixture f;
    f.first.add({ Send { wholeAnswer("{}") } });
    f.run([&]() -> asio::awaitable<void> {
        co_await f.ask(completion("", plainBody));
        REQUIRE(f.service->idleBackendConnections() == 1);
        f.first.add({ Close {} });
        auto response = co_await f.ask(
            "POST /app/pay HTTP/1.1\r\nhost: h\r\nauthorization: Bearer key-1234567890\r\ncontent-length: 0\r\n\r\n");
        REQUIRE(contains(response, "502 Bad Gateway"));
        REQUIRE(contains(response, "x-lagoonspoke-run: unknown"));
    });
    // One for each request, and one that shows that the server has not died.
    REQUIRE(f.first.connections == 3);
    REQUIRE(f.first.requests.size() == 2);
    REQUIRE(f.second.requests.empty());
}

// Guards against a withdrawn key that keeps its open streams and connections.
TEST_CASE("a withdrawn key cuts its streams, closes its idle connections and starts nothing new")
{
    Fixture f;
    f.first.add({ Send { wholeAnswer("{}") } });
    f.first.add({ Send { std::string(streamHead) }, Send { token("a") }, Hold {} });
    f.run([&]() -> asio::awaitable<void> {
        RawCaller idle(f.io);
        co_await idle.connect(f.server->endpoint());
        co_await idle.send(completion("", plainBody));
        co_await idle.readUntil("{}");
        RawCaller streaming(f.io);
        co_await streaming.connect(f.server->endpoint());
        co_await streaming.send(completion("", streamBody));
        co_await streaming.readUntil("\"a\"");
        f.service->applySnapshot(Fixture::makeSnapshot(false));
        f.server->closeIdleConnections([&](const std::string& owner) { return !f.service->isValidKey(owner); });
        auto response = co_await streaming.readAll();
        REQUIRE(contains(response, "key_withdrawn"));
        REQUIRE_FALSE(endsComplete(response));
        co_await idle.readAll();
        auto response6 = co_await f.ask(completion("", plainBody));
        REQUIRE(contains(response6, "invalid_key"));
        co_await f.until([&] { return f.first.heldClosed == 1; });
    });
    REQUIRE(f.finished.back().outcome == FinishOutcome::Aborted);
}

// Guards against work for callers that are gone.
TEST_CASE("a caller that leaves gives back its place in the queue or its engine")
{
    Fixture f;
    f.run([&]() -> asio::awaitable<void> {
        f.granting = false;
        RawCaller waiting(f.io);
        co_await waiting.connect(f.server->endpoint());
        co_await waiting.send(completion("", plainBody));
        co_await f.until([&] { return f.placed.size() == 1; });
        waiting.close();
        co_await f.until([&] { return f.withdrawn.size() == 1; });
        f.granting = true;
        f.first.add({ Send { std::string(streamHead) }, Send { token("a") }, Hold {} });
        RawCaller streaming(f.io);
        co_await streaming.connect(f.server->endpoint());
        co_await streaming.send(completion("", streamBody));
        co_await streaming.readUntil("\"a\"");
        streaming.close();
        co_await f.until([&] { return f.first.heldClosed == 1; });
    });
    REQUIRE(f.finished.at(0).outcome == FinishOutcome::CallerLeft);
    REQUIRE(f.finished.at(0).outputTokens == Tokens { 1 });
}

// Guards against a preempted stream that ends, and against a revocation that stops work that cannot move.
TEST_CASE("a revoked stream moves, a revoked non-idempotent request stays")
{
    Fixture f;
    f.first.add({ Send { std::string(streamHead) }, Send { token("a") }, Hold {} });
    f.first.add({ Send { std::string(streamHead) }, Send { token("b") + chunk("data: [DONE]\n\n") + "0\r\n\r\n" } });
    f.run([&]() -> asio::awaitable<void> {
        RawCaller caller(f.io);
        co_await caller.connect(f.server->endpoint());
        co_await caller.send(completion("", streamBody));
        co_await caller.readUntil("\"a\"");
        f.placement.deliver(Revoke { f.grants[0].request, f.grants[0].grant, RevokeReason::Preempted });
        auto response = co_await caller.readUntil("0\r\n\r\n");
        CAPTURE(response);
        REQUIRE(contains(response, "\"b\""));
        REQUIRE(contains(response, "[DONE]"));
        f.first.add({ Hold {} });
        RawCaller payer(f.io);
        co_await payer.connect(f.server->endpoint());
        co_await payer.send(completion("x-idempotent: false\r\n", plainBody));
        co_await f.until([&] { return f.first.requests.size() == 3; });
        f.placement.deliver(Revoke { f.grants[2].request, f.grants[2].grant, RevokeReason::Preempted });
        payer.close();
        co_await f.until([&] { return f.finished.size() == 3; });
    });
    REQUIRE(f.finished[0].outcome == FinishOutcome::Aborted);
    REQUIRE(f.finished[2].outcome == FinishOutcome::CallerLeft);
}

// Guards against a late response that the next request takes for its own.
TEST_CASE("an idle connection that receives late bytes is not used again")
{
    Fixture f;
    f.first.add({ Send { wholeAnswer("{}") }, Send { wholeAnswer(R"({"late":1})", "t-2") } });
    f.first.add({ Send { wholeAnswer(R"({"second":1})") } });
    f.run([&]() -> asio::awaitable<void> {
        co_await f.ask(completion("", plainBody));
        auto response = co_await f.ask(completion("", plainBody));
        REQUIRE(contains(response, "second"));
    });
    REQUIRE(f.first.connections == 2);
}

// Guards against a complete response that is not billed, and a partial one that is billed as complete.
TEST_CASE("usage is recorded before the last bytes of a complete response")
{
    Fixture f;
    std::vector<UsageRecord> records;
    f.service->setUsageSink([&](UsageRecord record) -> asio::awaitable<void> {
        records.push_back(record);
        co_return;
    });
    f.first.add({ Send { wholeAnswer(R"({"usage":{"prompt_tokens":7,"completion_tokens":5}})") } });
    f.first.add({ Send { std::string(streamHead) }, Send { token("a") }, Close {} });
    f.run([&]() -> asio::awaitable<void> {
        co_await f.ask(completion("", plainBody));
        REQUIRE(records.size() == 1);
        co_await f.ask(completion("x-idempotent: false\r\n", streamBody));
        co_await f.until([&] { return records.size() == 2; });
    });
    REQUIRE(records[0].completed);
    REQUIRE(records[0].promptTokens == Tokens { 7 });
    REQUIRE(records[0].outputTokens == Tokens { 5 });
    REQUIRE_FALSE(records[1].completed);
    REQUIRE(records[1].outputTokens == Tokens { 1 });
}

// Guards against usage that lacks every request that a failing server ran: with two requests in five answered by an
// error, a window's report was off by a tenth.
TEST_CASE("where usage counts begun requests, errors and lost answers of a server that ran them count once")
{
    Fixture f([](DaemonSettings& it) { it.countsUsageAtStart = true; });
    int counted = 0;
    f.service->setUsageSink([&](UsageRecord) -> asio::awaitable<void> {
        ++counted;
        co_return;
    });
    constexpr auto error = "HTTP/1.1 500 Internal Server Error\r\nx-request-id: ID\r\ncontent-length: 0\r\n\r\n";
    constexpr auto once = "x-idempotent: false\r\n";
    auto work = Work { std::chrono::milliseconds(30) };
    f.run([&]() -> asio::awaitable<void> {
        f.first.add({ Send { error } });
        co_await f.ask(completion(once, plainBody));
        REQUIRE(counted == 1);
        // The answer is lost after the server has worked on the request.
        f.first.add({ work, Close {} });
        co_await f.ask(completion(once, plainBody));
        REQUIRE(counted == 2);
        // A connection that breaks at once is that of a server that never read the request.
        f.first.add({ Close {} });
        co_await f.ask(completion(once, plainBody));
        REQUIRE(counted == 2);
        // Two runs of one request count once.
        f.first.add({ work, Close {} });
        f.second.add({ Send { wholeAnswer("{}") } });
        co_await f.ask(completion("", plainBody));
        REQUIRE(counted == 3);
    });
}

// Guards against a request that outlives its caller, and so holds up a shutdown: the answer of another request came on
// its connection, and its own never did.
TEST_CASE("a caller that leaves after a late answer was skipped ends its request")
{
    Fixture f;
    f.first.add({ Send { wholeAnswer("{}") } });
    f.first.add({ Send { wholeAnswer(R"({"late":1})", "t-9") }, Hold {} });
    f.run([&]() -> asio::awaitable<void> {
        co_await f.ask(completion("", plainBody));
        RawCaller caller(f.io);
        co_await caller.connect(f.server->endpoint());
        co_await caller.send(completion("", plainBody));
        co_await f.until([&] { return f.first.requests.size() == 2; });
        asio::steady_timer timer(f.io, std::chrono::milliseconds(50));
        co_await timer.async_wait(useTuple);
        caller.close();
        auto start = readMonotonicClock();
        co_await f.until([&] { return f.finished.size() == 2; });
        REQUIRE(readMonotonicClock() - start < std::chrono::seconds(5));
    });
    REQUIRE(f.finished[1].outcome == FinishOutcome::CallerLeft);
}

} // namespace lagoonspoke::testing
