#pragma once

#include <list>
#include <memory>

#include "entry/BackendConnection.h"

namespace lagoonspoke {

// Idle connections to backend servers, for idempotent requests. Owned by the CallerService of one traffic thread;
// used on that thread only.
class BackendPool {
public:
    explicit BackendPool(asio::any_io_executor);
    ~BackendPool();

    // An idle connection to the address that received nothing since it was given, or null. Connections to a server that
    // this instance is cut off from look idle, so that those through peers may be asked for alone.
    std::unique_ptr<BackendConnection> take(const std::string& address, bool onlyTunnelled = false);
    // Keeps the connection if its response is complete; reads a short outstanding end first. Closes it otherwise.
    void give(std::unique_ptr<BackendConnection>);
    std::size_t size() const { return m_state->idle.size(); }

private:
    struct Idle {
        std::unique_ptr<BackendConnection> connection;
        MonotonicTime since;
    };
    struct State {
        explicit State(asio::any_io_executor executor)
            : timer(std::move(executor))
        {
        }
        std::list<Idle> idle; // oldest first
        asio::steady_timer timer;
        bool sweeping = false;
        bool closed = false;
    };

    static asio::awaitable<void> readEnd(std::shared_ptr<State>, std::unique_ptr<BackendConnection>);
    static void keep(const std::shared_ptr<State>&, std::unique_ptr<BackendConnection>);
    static void scheduleSweep(const std::shared_ptr<State>&);

    std::shared_ptr<State> m_state;
};

} // namespace lagoonspoke
