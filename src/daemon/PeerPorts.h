#pragma once

#include <functional>

#include "http/Asio.h"
#include "lagoonspoke/core/Error.h"

namespace lagoonspoke {

// The peer address of this instance: a TCP listener for links and a UDP socket for probes on one port.
// Owned by PeerService.
class PeerPorts {
public:
    // Larger messages would be split into several packets, and are lost when one of them is.
    static constexpr std::size_t maxDatagramBytes = 1200;

    // With port 0 the kernel chooses. Errors: InvalidArgument, Unavailable.
    static Outcome<PeerPorts> Make(asio::io_context&, std::string_view address);

    tcp::endpoint endpoint() const { return m_endpoint; }
    // Sends at best effort; a full socket buffer loses the datagram, as a network may.
    void sendDatagram(const tcp::endpoint& to, const std::string& bytes);
    // Wait for the next link and the next datagram. Errors: Unavailable when the ports are closed or out of resources.
    asio::awaitable<Outcome<tcp::socket>> accept();
    asio::awaitable<Outcome<std::string>> receiveDatagram();
    void close();

private:
    PeerPorts(tcp::acceptor, asio::ip::udp::socket, tcp::endpoint);

    tcp::acceptor m_acceptor;
    asio::ip::udp::socket m_socket;
    tcp::endpoint m_endpoint;
};

} // namespace lagoonspoke
