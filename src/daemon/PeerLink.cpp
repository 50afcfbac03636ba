#include "daemon/PeerLink.h"

#include "observe/LogLine.h"

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

constexpr Duration connectBound = 1s;
constexpr Duration firstBackOff = 50ms;
constexpr Duration longestBackOff = 2s;
// An unused link closes, so that the number of links follows the traffic and not the number of instances.
constexpr Duration idleBound = 60s;

} // namespace

PeerLink::PeerLink(asio::io_context& io, Options options)
    : m_io(io)
    , m_options(std::move(options))
    , m_timer(io)
{
}

void PeerLink::send(std::string frame)
{
    if (m_closed) {
        return;
    }
    if (m_session) {
        m_session->send(std::move(frame));
        return;
    }
    if (m_waitingBytes + frame.size() > maxQueuedBytes) {
        return;
    }
    m_waitingBytes += frame.size();
    m_waiting.push_back(std::move(frame));
    if (!m_connecting) {
        m_connecting = true;
        asio::co_spawn(m_io, connect(), [self = shared_from_this()](const std::exception_ptr&) {});
    }
}

void PeerLink::close()
{
    m_closed = true;
    m_timer.cancel();
    if (m_session) {
        std::exchange(m_session, nullptr)->close();
    }
    m_options.lost = {};
    m_options.greeted = {};
}

asio::awaitable<void> PeerLink::connect()
{
    if (auto wait = m_notBefore - readMonotonicClock(); wait > Duration(0)) {
        m_timer.expires_after(wait);
        co_await m_timer.async_wait(useTuple);
    }
    // A shared socket, as the timer below may outlive this coroutine's frame by one turn of the loop.
    auto socket = std::make_shared<tcp::socket>(m_io);
    m_timer.expires_after(connectBound);
    m_timer.async_wait([socket](error_code ec) {
        if (!ec) {
            socket->close(ec);
        }
    });
    auto [ec] = co_await socket->async_connect(m_options.endpoint, useTuple);
    m_timer.cancel();
    m_connecting = false;
    if (m_closed) {
        co_return;
    }
    if (ec || !socket->is_open()) {
        reportLoss();
        co_return;
    }
    open(std::move(*socket));
}

void PeerLink::open(tcp::socket socket)
{
    std::weak_ptr<PeerLink> weak = weak_from_this();
    PeerSession::Handlers handlers;
    handlers.greeted = [weak](const HelloFrame& hello) {
        auto self = weak.lock();
        if (!self || self->m_closed || hello.instance != self->m_options.peer) {
            return false;
        }
        self->m_backOff = Duration(0);
        self->m_options.greeted(hello);
        return true;
    };
    // Each side sends on the links that it opened; nothing but greeting and heartbeats comes back.
    handlers.received = [](const HelloFrame&, const PayloadFrame&) {};
    handlers.closed = [weak] {
        if (auto self = weak.lock()) {
            self->reportLoss();
        }
    };
    handlers.idleBound = idleBound;
    auto session = std::make_shared<PeerSession>(std::move(socket), m_options.makeHello(), std::move(handlers));
    m_session = session;
    session->start();
    m_waitingBytes = 0;
    for (auto& frame : std::exchange(m_waiting, {})) {
        session->send(std::move(frame));
    }
}

void PeerLink::reportLoss()
{
    auto idle = m_session && readMonotonicClock() - m_session->lastPayload() >= idleBound;
    m_session.reset();
    m_waiting.clear();
    m_waitingBytes = 0;
    m_backOff = std::min<Duration>(longestBackOff, std::max(firstBackOff, m_backOff * 2));
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    m_notBefore = readMonotonicClock() + std::chrono::duration_cast<Duration>(m_backOff * jitter(m_random));
    if (!m_closed && !idle && m_options.lost) {
        LogLine(LogLevel::Info, "peer_link_lost").add("peer", m_options.peer.value());
        m_options.lost();
    }
}

} // namespace lagoonspoke
