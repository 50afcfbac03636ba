#pragma once

#include <functional>
#include <memory>
#include <random>
#include <vector>

#include "daemon/PeerSession.h"
#include "lagoonspoke/core/Ids.h"

namespace lagoonspoke {

// The outgoing messages to one peer. Connects on first use, again after a failure with jittered back-off, and closes
// when unused. Owned by PeerService.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
    struct Options {
        InstanceId peer;
        tcp::endpoint endpoint;
        std::function<std::string()> makeHello; // an encoded frame
        std::function<void(const HelloFrame&)> greeted;
        std::function<void()> lost; // messages may have been lost
    };

    PeerLink(asio::io_context&, Options);

    // Queues an encoded frame; drops it when the bound of waiting frames is reached.
    void send(std::string frame);
    void close();
    const tcp::endpoint& endpoint() const { return m_options.endpoint; }

private:
    asio::awaitable<void> connect();
    void open(tcp::socket);
    void reportLoss();

    asio::io_context& m_io;
    Options m_options;
    asio::steady_timer m_timer;
    std::shared_ptr<PeerSession> m_session;
    std::vector<std::string> m_waiting; // until the connection is open
    std::size_t m_waitingBytes = 0;
    Duration m_backOff {};
    MonotonicTime m_notBefore;
    std::minstd_rand m_random { std::random_device {}() };
    bool m_connecting = false;
    bool m_closed = false;
};

} // namespace lagoonspoke
