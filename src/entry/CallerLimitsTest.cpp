// Refusals, limits and what may be forwarded.
#include "entry/CallerServiceFixture.h"

namespace lagoonspoke::testing {

// Guards against a request that waits for ever on a silent backend server.
TEST_CASE("silence before the first byte ends an attempt")
{
    Fixture f([](DaemonSettings& it) { it.firstByteTimeout = std::chrono::milliseconds(50); });
    f.first.add({ Hold {} });
    f.second.add({ Hold {} });
    f.run([&]() -> asio::awaitable<void> {
        auto response = co_await f.ask(completion("", streamBody));
        REQUIRE(contains(response, "x-lagoonspoke-run: unknown"));
        co_await f.until([&] { return f.first.heldClosed == 1 && f.second.heldClosed == 1; });
    });
    REQUIRE(f.finished[0].outcome == FinishOutcome::ServerFailed);
}

// Guards against a stream that stays open after its engine went silent.
TEST_CASE("silence within a stream ends it visibly truncated")
{
    Fixture f([](DaemonSettings& it) { it.tokenGapTimeout = std::chrono::milliseconds(50); });
    // Sent at once, so that a pause of the machine cannot fall between head and token.
    f.first.add({ Send { std::string(streamHead) + token("a") }, Hold {} });
    f.run([&]() -> asio::awaitable<void> {
        auto response = co_await f.ask(completion("x-idempotent: false\r\n", streamBody));
        REQUIRE(contains(response, "\"a\""));
        REQUIRE(contains(response, "backend_timeout"));
        REQUIRE_FALSE(endsComplete(response));
        co_await f.until([&] { return f.first.heldClosed == 1; });
    });
}

// Guards against a key that reaches a backend server.
TEST_CASE("a request that carries its key outside the Authorization header is refused")
{
    Fixture f;
    f.run([&]() -> asio::awaitable<void> {
        auto body = fmt::format(R"({{"model":"m","prompt":"{}"}})", key);
        auto response2 = co_await f.ask(completion("", body));
        REQUIRE(contains(response2, "key_in_request"));
        auto response3 = co_await f.ask(completion(fmt::format("x-copy: a{}b\r\n", key), plainBody));
        REQUIRE(contains(response3, "key_in_request"));
        auto target = fmt::format("GET /app/x?k={} HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {}\r\n\r\n", key, key);
        auto response4 = co_await f.ask(target);
        REQUIRE(contains(response4, "key_in_request"));
    });
    REQUIRE(f.placed.empty());
}

// Guards against forwarding credentials, hop-by-hop headers and trailers.
TEST_CASE("only listed headers reach the backend server, and no trailer")
{
    Fixture f;
    f.first.add({ Send { wholeAnswer("{}") } });
    f.run([&]() -> asio::awaitable<void> {
        std::string request = "POST /app/x HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-1234567890\r\n"
                              "cookie: c=1\r\nproxy-authorization: p\r\nte: trailers\r\ntransfer-encoding: chunked\r\n"
                              "trailer: accept\r\ntraceparent: 00-1\r\n\r\n2\r\nhi\r\n0\r\naccept: trailer\r\n\r\n";
        auto response5 = co_await f.ask(request);
        REQUIRE(contains(response5, "200 OK"));
    });
    const auto& sent = f.first.requests.at(0);
    REQUIRE(contains(sent, "traceparent: 00-1"));
    REQUIRE(sent.ends_with("\r\n\r\nhi"));
    for (const auto* absent : { "key-", "cookie", "proxy", "te:", "transfer-encoding", "trailer", "accept" }) {
        CAPTURE(absent);
        REQUIRE_FALSE(contains(sent, absent));
    }
}

// Guards against limits that close a connection without telling the caller why.
TEST_CASE("each limit of size is answered with its code")
{
    Fixture f([](DaemonSettings& it) { it.maxHeaderBytes = it.maxBodyBytes = 1024; });
    f.run([&]() -> asio::awaitable<void> {
        std::string large(2048, 'x');
        auto head = co_await f.ask(completion("x-pad: " + large + "\r\n", plainBody));
        REQUIRE(contains(head, "header_too_large"));
        auto body = co_await f.ask(completion("", large));
        REQUIRE(contains(body, "body_too_large"));
        auto chunked = co_await f.ask("POST /app HTTP/1.1\r\nhost: h\r\nauthorization: Bearer key-1234567890\r\n"
                                      "transfer-encoding: chunked\r\n\r\n"
            + chunk(large) + "0\r\n\r\n");
        REQUIRE(contains(chunked, "body_too_large"));
        auto malformed = co_await f.ask("no request\r\n\r\n");
        REQUIRE(contains(malformed, "malformed_request"));
    });
}

// Guards against callers that hold a connection with an unfinished request.
TEST_CASE("an unfinished request is answered with the code of its part")
{
    Fixture f([](DaemonSettings& it) { it.readTimeout = std::chrono::milliseconds(50); });
    f.run([&]() -> asio::awaitable<void> {
        auto cut = completion("", plainBody);
        auto body = co_await f.ask(cut.substr(0, cut.size() - 2));
        REQUIRE(contains(body, "body_timeout"));
        auto head = co_await f.ask("GET /app HTTP/1.1\r\nhost");
        REQUIRE(contains(head, "header_timeout"));
    });
}

// Guards against idle connections that stay open for ever.
TEST_CASE("an idle connection is closed with a code")
{
    Fixture f([](DaemonSettings& it) { it.idleTimeout = std::chrono::milliseconds(50); });
    f.run([&]() -> asio::awaitable<void> {
        RawCaller idle(f.io);
        co_await idle.connect(f.server->endpoint());
        auto response = co_await idle.readAll();
        REQUIRE(contains(response, "idle_timeout"));
    });
}

// Guards against a caller that does not read and holds its engine for ever.
TEST_CASE("a caller that does not read is dropped")
{
    Fixture f([](DaemonSettings& it) { it.writeTimeout = std::chrono::milliseconds(100); });
    // More than the kernel buffers on loopback.
    std::string large(48 << 20, 'x');
    f.first.add({ Send { wholeAnswer(large) }, Hold {} });
    f.run([&]() -> asio::awaitable<void> {
        RawCaller caller(f.io);
        co_await caller.connect(f.server->endpoint());
        co_await caller.send("GET /app/large HTTP/1.1\r\nhost: h\r\nauthorization: Bearer key-1234567890\r\n\r\n");
        co_await f.until([&] { return f.finished.size() == 1; });
    });
    REQUIRE(f.finished[0].outcome == FinishOutcome::CallerLeft);
}

// Guards against connections over the limit that are closed without an answer.
TEST_CASE("a connection over the limit is refused with an error")
{
    Fixture f([](DaemonSettings& it) { it.maxConnections = 1; });
    f.first.add({ Hold {} });
    f.run([&]() -> asio::awaitable<void> {
        RawCaller holder(f.io);
        co_await holder.connect(f.server->endpoint());
        co_await holder.send("GET /open/a HTTP/1.1\r\nhost: h\r\n\r\n");
        co_await f.until([&] { return f.server->activeRequestCount() == 1; });
        auto response13 = co_await f.ask(completion("", plainBody));
        REQUIRE(contains(response13, "too_many_connections"));
        CHECK(f.server->connectionCount() == 1);
    });
}

// Guards against callers that hold all connections without a request and keep every other caller out.
TEST_CASE("a connection without a request makes room for a new one")
{
    Fixture f([](DaemonSettings& it) { it.maxConnections = 1; });
    f.first.add({ Send { wholeAnswer("{}") } });
    auto begun = GENERATE(std::string(), std::string("GET /open/a HTT"));
    f.run([&]() -> asio::awaitable<void> {
        RawCaller holder(f.io);
        co_await holder.connect(f.server->endpoint());
        co_await f.until([&] { return f.server->connectionCount() == 1; });
        co_await holder.send(begun);
        auto response = co_await f.ask(completion("", plainBody));
        CHECK(contains(response, "200 OK"));
    });
}

// Guards against bodies that together take the memory of the process although each is inside the limit.
TEST_CASE("a large body is refused as not run while too much is held, and small requests go on")
{
    Fixture f([](DaemonSettings& it) { it.maxHeldRequestBytes = 1 << 20; });
    f.first.add({ Send { wholeAnswer("{}") } });
    f.run([&]() -> asio::awaitable<void> {
        RawCaller holder(f.io);
        co_await holder.connect(f.server->endpoint());
        co_await holder.send("POST /app/a HTTP/1.1\r\nhost: h\r\nauthorization: Bearer key-1234567890\r\n"
                             "content-length: 4000000\r\n\r\n"
            + std::string(900 << 10, 'x'));
        co_await f.until([&] { return f.server->heldBytes() >= 900 << 10; });
        auto refused = co_await f.ask("POST /app/a HTTP/1.1\r\nhost: h\r\nauthorization: Bearer key-1234567890\r\n"
                                      "content-length: 400000\r\n\r\n"
            + std::string(400000, 'x'));
        CHECK(contains(refused, "503"));
        CHECK(contains(refused, "not-run"));
        auto small = co_await f.ask(completion("", plainBody));
        CHECK(contains(small, "200 OK"));
        CHECK(f.server->heldBytes() < 1000 << 10);
    });
}

// Guards against an instance that may have missed a withdrawal and still admits keys.
TEST_CASE("without current keys only open routes are served")
{
    Fixture f;
    f.first.add({ Send { wholeAnswer("{}") } });
    f.service->setAdmitsKeys(false);
    f.run([&]() -> asio::awaitable<void> {
        auto keyed = co_await f.ask(completion("", plainBody));
        REQUIRE(contains(keyed, "not_ready"));
        auto open = co_await f.ask("GET /open/a HTTP/1.1\r\nhost: h\r\n\r\n");
        REQUIRE(contains(open, "200 OK"));
    });
}

// Guards against routes that need or accept the wrong key or class.
TEST_CASE("routes, classes and open routes")
{
    Fixture f;
    f.first.add({ Send { wholeAnswer("{}") } });
    f.first.add({ Send { wholeAnswer("{}") } });
    f.run([&]() -> asio::awaitable<void> {
        auto response14 = co_await f.ask("GET /open/a HTTP/1.1\r\nhost: h\r\n\r\n");
        REQUIRE(contains(response14, "200 OK"));
        auto response15 = co_await f.ask("GET /app/a HTTP/1.1\r\nhost: h\r\n\r\n");
        REQUIRE(contains(response15, "invalid_key"));
        auto response16 = co_await f.ask("GET /app/%2e%2E/b HTTP/1.1\r\nhost: h\r\n\r\n");
        REQUIRE(contains(response16, "invalid_target"));
        auto response17 = co_await f.ask(completion("x-lagoonspoke-class: gold\r\n", plainBody));
        REQUIRE(contains(response17, "class_not_allowed"));
        co_await f.ask(completion("x-lagoonspoke-class: batch\r\n", plainBody));
    });
    REQUIRE(f.placed.size() == 2);
    REQUIRE(f.placed[0].team.empty());
    REQUIRE(f.placed[1].tier == Tier { 3 });
}

} // namespace lagoonspoke::testing
