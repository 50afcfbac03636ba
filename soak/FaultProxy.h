#pragma once

#include <list>
#include <memory>

#include "http/Asio.h"
#include "lagoonspoke/core/Error.h"
#include "lagoonspoke/core/Time.h"

namespace lagoonspoke::soak {

// What a proxy does to the bytes that pass it.
enum class LinkFault {
    None,
    Delayed,
    CutToServer, // bytes of the client stay in the proxy
    CutToClient,
    Silent, // both directions
    Refused, // new connections are reset
};

std::string_view toString(LinkFault);

// A TCP proxy on loopback between a program and one that it depends on. Bytes held back by a fault go on when it ends,
// unless their connection was reset. Owned by the SoakTestbed; used on its io_context only.
class FaultProxy {
public:
    static Outcome<std::unique_ptr<FaultProxy>> Make(asio::io_context&);
    ~FaultProxy();

    // Where new connections go from now on.
    void setServer(tcp::endpoint);
    void setFault(LinkFault, Duration delay = {});
    // Resets all open connections.
    void resetConnections();

    std::string address() const;

private:
    struct State;

    explicit FaultProxy(std::shared_ptr<State>);
    static asio::awaitable<void> accept(std::shared_ptr<State>);
    struct Pair;
    static asio::awaitable<void> run(std::shared_ptr<State>, std::shared_ptr<Pair>);
    static asio::awaitable<void> pump(std::shared_ptr<State>, std::shared_ptr<Pair>, bool toServer);

    std::shared_ptr<State> m_state;
};

} // namespace lagoonspoke::soak
