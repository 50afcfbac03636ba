#include "http/HttpChannel.h"

#include "http/CallerWatch.h"

namespace lagoonspoke {

namespace {

constexpr std::size_t mostIdle = 4;
constexpr std::size_t maxReplyBytes = 16 << 20;
// Time after which the kernel reports a connection whose other end no longer acknowledges anything.
constexpr std::chrono::milliseconds silenceBound(2500);
// A call that waits for changes sends nothing itself.
constexpr std::chrono::seconds keepaliveIdle(1);

} // namespace

struct HttpChannel::Connection {
    explicit Connection(asio::any_io_executor executor)
        : stream(std::move(executor))
    {
    }
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
};

HttpChannel::HttpChannel(tcp::endpoint endpoint)
    : m_endpoint(std::move(endpoint))
    , m_state(std::make_shared<State>())
{
}

HttpChannel::~HttpChannel()
{
    closeConnections();
}

void HttpChannel::closeConnections()
{
    m_state->idle.clear();
    for (const auto& connection : m_state->busy) {
        connection->stream.close();
    }
}

asio::awaitable<Outcome<std::shared_ptr<HttpChannel::Connection>>> HttpChannel::open(std::chrono::nanoseconds bound)
{
    while (!m_state->idle.empty()) {
        auto connection = std::move(m_state->idle.back());
        m_state->idle.pop_back();
        if (isQuiet(connection->stream.socket())) {
            co_return connection;
        }
    }
    auto connection = std::make_shared<Connection>(co_await asio::this_coro::executor);
    connection->stream.expires_after(std::min(bound, std::chrono::nanoseconds(silenceBound)));
    if (auto [ec] = co_await connection->stream.async_connect(m_endpoint, useTuple); ec) {
        co_return makeError(ErrorCode::Unavailable, ec.message());
    }
    setLivenessOptions(connection->stream.socket(), silenceBound, keepaliveIdle);
    co_return connection;
}

asio::awaitable<Outcome<HttpReply>> HttpChannel::call(
    HttpCall call, std::chrono::nanoseconds bound, std::function<bool()> mayWrite)
{
    auto state = m_state;
    auto opened = co_await open(bound);
    if (!opened) {
        co_return tl::make_unexpected(opened.error());
    }
    if (mayWrite && !mayWrite()) {
        co_return makeError(ErrorCode::Unavailable, "the call was withdrawn before it was sent");
    }
    auto connection = std::move(*opened);
    auto busy = state->busy.insert(state->busy.end(), connection);
    auto reply
        = co_await callOn(connection->stream, connection->buffer, m_endpoint, std::move(call), bound, maxReplyBytes);
    state->busy.erase(busy);
    if (!reply && reply.error().code == ErrorCode::TimedOut) {
        // Whatever silenced this connection may have silenced those as well, and each would cost a call its bound.
        state->idle.clear();
    }
    if (reply && reply->keepAlive && connection->buffer.size() == 0 && state->idle.size() < mostIdle) {
        connection->stream.expires_never();
        state->idle.push_back(std::move(connection));
    }
    co_return reply;
}

} // namespace lagoonspoke
