#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "http/Asio.h"
#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// Carries connections of other instances, which are cut off from backend servers, to these servers; see wire/Tunnel.h.
// Owned by PeerService; used on the control thread only.
class TunnelServer {
public:
    struct Callbacks {
        // Where the backend server with this address is reached; empty if there is none, as an instance connects to
        // nothing else for others.
        std::function<std::optional<tcp::endpoint>(const std::string& address)> findServer;
    };

    TunnelServer(asio::io_context&, Callbacks);
    ~TunnelServer();

    // Serves a tunnel on the connection whose first frame named the address.
    void serve(tcp::socket, std::string address);
    // While this instance is cut off itself, or leaves, new tunnels are refused at once.
    void setCutOff(bool cutOff) { m_state->cutOff = cutOff; }
    void setLeaving() { m_state->leaving = true; }
    std::size_t count() const { return m_state->tunnels.size(); }
    void stop();

private:
    struct Tunnel;
    struct State {
        State(asio::io_context& context, Callbacks callbacks)
            : io(context)
            , callbacks(std::move(callbacks))
        {
        }
        asio::io_context& io;
        Callbacks callbacks;
        std::set<std::shared_ptr<Tunnel>> tunnels;
        bool cutOff = false;
        bool leaving = false;
        bool stopped = false;
    };

    static asio::awaitable<void> run(std::shared_ptr<State>, std::shared_ptr<Tunnel>, std::string address);
    static asio::awaitable<bool> open(std::shared_ptr<Tunnel>, tcp::endpoint);
    static asio::awaitable<void> copyToServer(std::shared_ptr<Tunnel>);
    static asio::awaitable<void> copyToPeer(std::shared_ptr<Tunnel>);

    std::shared_ptr<State> m_state;
};

} // namespace lagoonspoke
