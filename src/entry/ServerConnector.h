#pragma once

#include <functional>
#include <memory>

#include "entry/ServerPaths.h"

namespace lagoonspoke {

// Whether, and how, a backend server can be reached.
enum class Reach {
    Direct,
    ThroughPeer, // this instance is cut off from the server
    Nobody, // neither this instance nor a peer: the server is down
    Unknown, // this instance is cut off, and no peer can tell
};

// Opens the connections of one traffic thread to backend servers, through peers where the instance is cut off from the
// servers. Owned by the CallerService; used on its thread only.
class ServerConnector {
public:
    explicit ServerConnector(asio::any_io_executor);
    ~ServerConnector();

    void setPeers(std::vector<tcp::endpoint> peers) { m_state->paths.setPeers(std::move(peers)); }
    // Called when the instance turns out to be cut off from all servers, or to reach them again.
    void setCutOffChanged(std::function<void(bool)> handler) { m_state->cutOffChanged = std::move(handler); }

    // Whether new connections to the server go through a peer.
    bool isCutOff(const std::string& address) const { return m_state->paths.isCutOff(address); }
    // Opens the connection, at most within the bound.
    asio::awaitable<Reach> connect(BackendConnection&, Duration bound);
    // Whether the server takes connections; closes the one that shows it.
    asio::awaitable<Reach> check(std::string address, Duration bound);
    // Whether the server's process goes on after it ended a connection: it takes a new one and does not reset it. False
    // if that cannot be told. Takes up to 50 ms besides the bound.
    asio::awaitable<bool> confirmAlive(std::string address, Duration bound);

private:
    struct State {
        State(asio::any_io_executor, std::uint64_t seed);

        void recordDirect(const std::string& address, bool reached);
        void recordTunnel(const std::string& address, const tcp::endpoint& peer, TunnelOutcome);
        void notifyChange();

        asio::any_io_executor executor;
        ServerPaths paths;
        asio::steady_timer timer;
        std::function<void(bool)> cutOffChanged;
        bool wasCutOff = false;
        bool retrying = false;
        bool stopped = false;
    };

    static asio::awaitable<bool> connectDirectly(State&, BackendConnection&, Duration bound);
    static asio::awaitable<Reach> connectThroughPeers(std::shared_ptr<State>, BackendConnection&, MonotonicTime end);
    // Tries the servers directly again, and peers that may reach them, until none is cut off.
    static asio::awaitable<void> retry(std::shared_ptr<State>);
    static asio::awaitable<bool> tryNextServer(State&);

    // Shared with the coroutine that retries, which may end after this object.
    std::shared_ptr<State> m_state;
};

} // namespace lagoonspoke
