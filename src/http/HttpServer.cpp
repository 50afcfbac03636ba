#include "http/HttpServer.h"

#include <malloc.h>

#include <fmt/format.h>

#include "http/CallerWatch.h"
#include "http/ReadBound.h"
#include "http/Rejection.h"

namespace lagoonspoke {

namespace {

// Bounds the work that connections over the limit cause; beyond it they are closed without a response.
constexpr std::size_t maxRejecting = 64;
// Read buffers above it are freed while their connection is idle.
constexpr std::size_t maxIdleBuffer = 4096;

enum class Phase {
    Idle,
    ReadingHead,
    Active,
    Closing,
};

struct Session {
    Session(tcp::socket socket, const HeldInput& held)
        : connection(std::move(socket), held)
    {
    }
    void enter(Phase next)
    {
        phase = next;
        since = std::chrono::steady_clock::now();
    }
    HttpConnection connection;
    Phase phase = Phase::Idle;
    std::chrono::steady_clock::time_point since = std::chrono::steady_clock::now(); // in this phase
    bool evicted = false; // stalled; its connection closes at once
};

struct ActiveCount {
    explicit ActiveCount(std::size_t& requests)
        : active(++requests)
    {
    }
    ~ActiveCount() { --active; }
    ActiveCount(const ActiveCount&) = delete;
    ActiveCount& operator=(const ActiveCount&) = delete;
    std::size_t& active;
};

bool isMalformedHead(error_code ec)
{
    static const auto& category = http::make_error_code(http::error::bad_method).category();
    return ec.category() == category && ec != http::error::end_of_stream && ec != http::error::partial_message;
}

asio::awaitable<void> rejectConnection(tcp::socket socket, Duration retryAfter, std::shared_ptr<std::size_t> rejecting)
{
    ++*rejecting;
    beast::tcp_stream stream(std::move(socket));
    co_await reject(stream, CallerError::TooManyConnections, retryAfter);
    co_await lingerAndClose(stream);
    --*rejecting;
}

} // namespace

// Shared with the coroutines of the sessions, which may outlive the server object by one step.
struct HttpServer::State {
    State(asio::io_context& context, Options serverOptions, Handler requestHandler)
        : io(context)
        , acceptor(context)
        , options(std::move(serverOptions))
        , handler(std::move(requestHandler))
        , held(options.heldInput)
    {
    }

    asio::io_context& io;
    tcp::acceptor acceptor;
    Options options;
    Handler handler;
    std::list<Session> sessions;
    bool closing = false;
    std::size_t active = 0;
    std::shared_ptr<std::size_t> rejecting = std::make_shared<std::size_t>(0);
    HeldInput held;

    void reportLimit(std::string_view limit) const
    {
        if (options.limitReached) {
            options.limitReached(limit);
        }
    }
    // Returns free memory to the system after many or large requests.
    void trimMemory();
    // Closes a connection whose request is not complete; returns whether there was one.
    bool evictConnection();
    void reportInputLimits(const Session&) const;

    static asio::awaitable<void> acceptConnections(std::shared_ptr<State>);
    static asio::awaitable<void> runSession(std::shared_ptr<State>, std::list<Session>::iterator);
    static asio::awaitable<bool> waitForRequest(State&, Session&);
    static asio::awaitable<bool> runRequest(State&, Session&);
    static asio::awaitable<bool> refuseInput(State&, Session&);
};

Outcome<std::unique_ptr<HttpServer>> HttpServer::Make(
    asio::io_context& io, const tcp::endpoint& endpoint, Options options, Handler handler)
{
    using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
    auto state = std::make_shared<State>(io, std::move(options), std::move(handler));
    error_code ec;
    state->acceptor.open(endpoint.protocol(), ec);
    state->acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (state->options.sharePort) {
        state->acceptor.set_option(ReusePort(true), ec);
    }
    state->acceptor.bind(endpoint, ec);
    if (!ec) {
        state->acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
        return makeError(ErrorCode::Unavailable,
            fmt::format("cannot listen on {}:{}: {}", endpoint.address().to_string(), endpoint.port(), ec.message()));
    }
    auto bound = state->acceptor.local_endpoint(ec);
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(state), bound));
}

HttpServer::HttpServer(std::shared_ptr<State> state, tcp::endpoint endpoint)
    : m_state(std::move(state))
    , m_endpoint(std::move(endpoint))
{
}

HttpServer::~HttpServer()
{
    closeListener();
    abortConnections();
}

void HttpServer::setLimits(const HttpExchange::Limits& limits)
{
    m_state->options.limits = limits;
}

void HttpServer::start()
{
    asio::co_spawn(m_state->io, State::acceptConnections(m_state), asio::detached);
}

void HttpServer::closeListener()
{
    m_state->closing = true;
    error_code ec;
    m_state->acceptor.close(ec);
    for (auto& session : m_state->sessions) {
        if (session.phase == Phase::Idle) {
            session.connection.stream.cancel();
        }
    }
}

void HttpServer::closeIdleConnections(const std::function<bool(const std::string& owner)>& selects)
{
    for (auto& session : m_state->sessions) {
        if (session.phase == Phase::Idle && selects(session.connection.owner)) {
            session.phase = Phase::Closing;
            session.connection.stream.cancel();
        }
    }
}

void HttpServer::abortConnections()
{
    for (auto& session : m_state->sessions) {
        session.phase = Phase::Closing;
        session.connection.stream.close();
    }
}

std::size_t HttpServer::connectionCount() const
{
    return m_state->sessions.size();
}

std::size_t HttpServer::heldBytes() const
{
    return m_state->held.total();
}

std::size_t HttpServer::activeRequestCount() const
{
    return m_state->active;
}

asio::awaitable<void> HttpServer::State::acceptConnections(std::shared_ptr<State> state)
{
    while (!state->closing) {
        auto [ec, socket] = co_await state->acceptor.async_accept(useTuple);
        if (ec) {
            if (state->closing || ec == asio::error::operation_aborted) {
                co_return;
            }
            // Out of descriptors, most likely: waits instead of spinning.
            asio::steady_timer timer(state->io, std::chrono::milliseconds(50));
            co_await timer.async_wait(useTuple);
            continue;
        }
        if (state->sessions.size() >= state->options.maxConnections && !state->evictConnection()) {
            state->reportLimit("connections");
            if (*state->rejecting < maxRejecting) {
                auto retryAfter = state->held.timeToRoom(readMonotonicClock());
                asio::co_spawn(
                    state->io, rejectConnection(std::move(socket), retryAfter, state->rejecting), asio::detached);
            }
            continue;
        }
        setLivenessOptions(
            socket, std::chrono::duration_cast<std::chrono::milliseconds>(state->options.limits.writeTimeout));
        auto it = state->sessions.emplace(state->sessions.end(), std::move(socket), state->held);
        asio::co_spawn(state->io, runSession(state, it), asio::detached);
    }
}

void HttpServer::State::trimMemory()
{
    if (held.resetFallenPeak()) {
        ::malloc_trim(0);
    }
}

bool HttpServer::State::evictConnection()
{
    Session* oldest = nullptr;
    auto rank = [](const Session& it) { return std::pair(it.phase != Phase::Idle, it.since); };
    for (auto& session : sessions) {
        bool runsNothing = session.phase == Phase::Idle || session.phase == Phase::ReadingHead;
        if (runsNothing && (!oldest || rank(session) < rank(*oldest))) {
            oldest = &session;
        }
    }
    if (!oldest) {
        return held.evictStalled(readMonotonicClock());
    }
    reportLimit("idle_connections");
    oldest->enter(Phase::Closing);
    oldest->connection.stream.close();
    return true;
}

void HttpServer::State::reportInputLimits(const Session& session) const
{
    switch (session.connection.held.admission()) {
    case InputAdmission::Refused:
        reportLimit("held_bytes");
        break;
    case InputAdmission::Evicted:
        reportLimit("stalled_requests");
        break;
    case InputAdmission::Admitted:
        break;
    }
}

asio::awaitable<void> HttpServer::State::runSession(std::shared_ptr<State> state, std::list<Session>::iterator it)
{
    bool more = true;
    while (more) {
        more = co_await waitForRequest(*state, *it);
        if (more) {
            more = co_await runRequest(*state, *it);
            state->trimMemory();
        }
        more = more && !state->closing;
    }
    it->phase = Phase::Closing;
    it->connection.buffer = beast::flat_buffer();
    if (it->evicted) {
        it->connection.stream.close();
    } else {
        co_await lingerAndClose(it->connection.stream);
    }
    state->sessions.erase(it);
}

// Waits for the first byte of a request; false when the connection is to be closed.
asio::awaitable<bool> HttpServer::State::waitForRequest(State& state, Session& session)
{
    session.enter(Phase::Idle);
    auto& stream = session.connection.stream;
    auto& buffer = session.connection.buffer;
    if (buffer.size() > 0) {
        co_return true;
    }
    if (buffer.capacity() > maxIdleBuffer) {
        buffer.shrink_to_fit();
    }
    if (state.closing && isQuiet(stream.socket())) {
        co_return false;
    }
    ReadBound bound(stream, state.options.limits.idleTimeout);
    bool waits = true;
    while (waits) {
        auto [ec] = co_await stream.socket().async_wait(tcp::socket::wait_read, useTuple);
        // A late event for bytes of the last request begins no new one.
        waits = !ec && session.phase == Phase::Idle && !state.closing && !bound.expired() && isQuiet(stream.socket());
    }
    if (session.phase == Phase::Closing) {
        co_return false;
    }
    // A request that arrived just before the listener closed is still served.
    if (!isQuiet(stream.socket())) {
        co_return true;
    }
    if (bound.expired() && state.options.limits.answersIdleTimeout) {
        co_await reject(stream, CallerError::IdleTimeout);
    }
    co_return false;
}

asio::awaitable<bool> HttpServer::State::runRequest(State& state, Session& session)
{
    session.enter(Phase::ReadingHead);
    // A request counts from its first byte, so that a shutdown waits for it.
    ActiveCount count(state.active);
    auto& connection = session.connection;
    connection.buffer.max_size(state.options.limits.maxHeaderBytes + state.options.limits.maxUnparsedBytes);
    HttpExchange::Parser parser;
    parser.header_limit(static_cast<std::uint32_t>(state.options.limits.maxHeaderBytes));
    // HttpExchange::readBody() limits the body, after the head could be answered.
    parser.body_limit(boost::none);
    auto& held = connection.held;
    auto now = readMonotonicClock();
    auto admits = [&] { return held.hold(connection.buffer.capacity(), now) == InputAdmission::Admitted; };
    error_code ec;
    bool timedOut = false;
    held.startReading(now, [&connection] { connection.stream.cancel(); });
    {
        ReadBound bound(connection.stream, state.options.limits.readTimeout);
        while (admits() && !ec && !parser.is_header_done()) {
            auto [readError, n] = co_await readStep(connection, parser);
            ec = readError;
            now = readMonotonicClock();
            held.noteReceived(n, now);
        }
        timedOut = bound.expired();
    }
    held.stopReading();
    if (held.admission() != InputAdmission::Admitted) {
        co_return co_await refuseInput(state, session);
    }
    if (ec) {
        if (session.phase == Phase::Closing) {
            co_return false;
        }
        if (timedOut) {
            co_await reject(connection.stream, CallerError::HeaderTimeout);
        } else if (isMalformedHead(ec)) {
            co_await reject(connection.stream,
                ec == http::error::header_limit ? CallerError::HeaderTooLarge : CallerError::MalformedRequest);
        }
        held.release();
        co_return false;
    }
    session.enter(Phase::Active);
    HttpExchange exchange(connection, parser, state.options.limits, state.closing);
    if (!exchange.holdInput(now)) {
        co_return co_await refuseInput(state, session);
    }
    co_await state.handler(exchange);
    session.evicted = held.admission() == InputAdmission::Evicted;
    state.reportInputLimits(session);
    if (held.admission() == InputAdmission::Admitted && !parser.is_done()
        && connection.buffer.size() == connection.buffer.max_size()) {
        state.reportLimit("unparsed_bytes");
    }
    co_return exchange.isReusable();
}

// Refuses a request that cannot be held, before its handler runs.
asio::awaitable<bool> HttpServer::State::refuseInput(State& state, Session& session)
{
    auto& held = session.connection.held;
    session.evicted = held.admission() == InputAdmission::Evicted;
    state.reportInputLimits(session);
    co_await reject(session.connection.stream, CallerError::Overloaded, held.timeToRoom(readMonotonicClock()));
    held.release();
    co_return false;
}

} // namespace lagoonspoke
