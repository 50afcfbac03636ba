#include "daemon/PeerSession.h"

#include <array>

#include "lagoonspoke/core/Overload.h"
#include "observe/LogLine.h"

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

constexpr Duration heartbeatInterval = 1s;
constexpr Duration silenceBound = 3s;

} // namespace

PeerSession::PeerSession(tcp::socket socket, std::string hello, Handlers handlers, std::string_view received)
    : m_socket(std::move(socket))
    , m_wake(m_socket.get_executor())
    , m_watch(m_socket.get_executor())
    , m_handlers(std::move(handlers))
    , m_lastHeard(readMonotonicClock())
    , m_lastSent(m_lastHeard)
    , m_lastPayload(m_lastHeard)
{
    m_decoder.append(received);
    m_queuedBytes = hello.size();
    m_queue.push_back(std::move(hello));
}

void PeerSession::start()
{
    setLivenessOptions(m_socket, std::chrono::duration_cast<std::chrono::milliseconds>(silenceBound));
    auto self = shared_from_this();
    auto run = [&](asio::awaitable<void> coroutine) {
        // The completion handler keeps the session alive as long as the coroutine uses it.
        asio::co_spawn(m_socket.get_executor(), std::move(coroutine), [self](const std::exception_ptr&) {});
    };
    run(readFrames());
    run(writeFrames());
    run(watchLiveness());
}

void PeerSession::send(std::string frame)
{
    if (m_closed) {
        return;
    }
    m_queuedBytes += frame.size();
    m_queue.push_back(std::move(frame));
    m_lastPayload = readMonotonicClock();
    if (m_queuedBytes > maxQueuedBytes) {
        LogLine(LogLevel::Warning, "peer_queue_full").add("peer", m_peer ? m_peer->instance.value() : "");
        fail();
        return;
    }
    m_wake.cancel();
}

void PeerSession::close()
{
    m_closed = true;
    error_code ec;
    m_socket.close(ec);
    m_wake.cancel();
    m_watch.cancel();
    // The handlers may own what owns this session.
    m_handlers = {};
}

void PeerSession::fail()
{
    if (!m_closed) {
        auto closed = std::move(m_handlers.closed);
        close();
        if (closed) {
            closed();
        }
    }
}

bool PeerSession::take(Frame frame)
{
    return std::visit(Overload {
                          [&](HelloFrame& hello) {
                              // Copied, as the handler may close the session and so destroy itself.
                              auto greeted = m_handlers.greeted;
                              if (m_closed || m_peer || hello.version != protocolVersion || !greeted(hello)) {
                                  return false;
                              }
                              m_peer = std::move(hello);
                              return true;
                          },
                          [](HeartbeatFrame&) { return true; },
                          [&](PayloadFrame& payload) {
                              auto received = m_handlers.received;
                              if (m_closed || !m_peer) {
                                  return false;
                              }
                              m_lastPayload = m_lastHeard;
                              received(*m_peer, std::move(payload));
                              return !m_closed;
                          },
                      },
        frame);
}

asio::awaitable<void> PeerSession::readFrames()
{
    std::array<char, 16 * 1024> buf;
    while (!m_closed && takeFrames()) {
        auto [ec, n] = co_await m_socket.async_read_some(asio::buffer(buf), useTuple);
        if (ec || m_closed) {
            break;
        }
        m_lastHeard = readMonotonicClock();
        m_decoder.append({ buf.data(), n });
    }
    fail();
}

bool PeerSession::takeFrames()
{
    auto frame = m_decoder.next();
    while (frame && *frame && take(std::move(**frame))) {
        frame = m_decoder.next();
    }
    // A frame that was taken out but not accepted, or a damaged one, ends the session.
    return frame && !*frame;
}

asio::awaitable<void> PeerSession::writeFrames()
{
    while (!m_closed) {
        if (m_queue.empty()) {
            m_wake.expires_at(asio::steady_timer::time_point::max());
            co_await m_wake.async_wait(useTuple);
            continue;
        }
        auto frame = std::move(m_queue.front());
        m_queue.pop_front();
        auto [ec, n] = co_await asio::async_write(m_socket, asio::buffer(frame), useTuple);
        m_queuedBytes -= frame.size();
        m_lastSent = readMonotonicClock();
        if (ec) {
            break;
        }
    }
    fail();
}

asio::awaitable<void> PeerSession::watchLiveness()
{
    const auto heartbeat = encodeFrame(HeartbeatFrame {}).value();
    while (!m_closed) {
        m_watch.expires_after(heartbeatInterval / 2);
        co_await m_watch.async_wait(useTuple);
        if (m_closed) {
            break;
        }
        auto now = readMonotonicClock();
        if (now - m_lastHeard > silenceBound) {
            LogLine(LogLevel::Warning, "peer_silent").add("peer", m_peer ? m_peer->instance.value() : "");
            break;
        }
        if (m_handlers.idleBound > Duration(0) && now - m_lastPayload >= m_handlers.idleBound) {
            break;
        }
        if (now - m_lastSent >= heartbeatInterval && m_queue.empty()) {
            m_queuedBytes += heartbeat.size();
            m_queue.push_back(heartbeat);
            m_lastSent = now;
            m_wake.cancel();
        }
    }
    fail();
}

} // namespace lagoonspoke
