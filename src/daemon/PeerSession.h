#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "http/Asio.h"
#include "lagoonspoke/core/Time.h"
#include "wire/FrameDecoder.h"

namespace lagoonspoke {

inline constexpr std::size_t maxQueuedBytes = 4 << 20; // of one link

// One open TCP connection between two instances: greets, sends heartbeats, closes when the other side is silent.
// Owned by a PeerLink or, on the accepting side, by PeerService; its coroutines keep it alive until they end.
class PeerSession : public std::enable_shared_from_this<PeerSession> {
public:
    struct Handlers {
        // Whether the other side may stay.
        std::function<bool(const HelloFrame&)> greeted;
        std::function<void(const HelloFrame& from, PayloadFrame)> received;
        std::function<void()> closed; // called once, unless close() was called before
        // Closes the session when no payload passed for this long; 0 leaves that to the other side.
        Duration idleBound {};
    };

    // Begins with the bytes that were received before.
    PeerSession(tcp::socket, std::string hello, Handlers, std::string_view received = {});

    void start();
    // Queues an encoded frame. Closes the session when the queue is over its bound, as the other side does not read.
    void send(std::string frame);
    // Closes without calling the handler.
    void close();
    MonotonicTime lastPayload() const { return m_lastPayload; }

private:
    asio::awaitable<void> readFrames();
    asio::awaitable<void> writeFrames();
    asio::awaitable<void> watchLiveness();
    bool take(Frame);
    // Takes the whole frames; false if the session has to end.
    bool takeFrames();
    void fail();

    tcp::socket m_socket;
    asio::steady_timer m_wake; // of the writer
    asio::steady_timer m_watch;
    Handlers m_handlers;
    FrameDecoder m_decoder;
    std::optional<HelloFrame> m_peer;
    std::deque<std::string> m_queue;
    std::size_t m_queuedBytes = 0;
    MonotonicTime m_lastHeard;
    MonotonicTime m_lastSent;
    MonotonicTime m_lastPayload;
    bool m_closed = false;
};

} // namespace lagoonspoke
