#include "daemon/PeerPorts.h"

#include <fmt/format.h>

#include "http/Endpoint.h"

namespace lagoonspoke {

using asio::ip::udp;

namespace {

// Another process may hold the UDP port of the TCP port that the kernel chose.
constexpr int bindAttempts = 16;

error_code listenOn(tcp::acceptor& acceptor, const tcp::endpoint& endpoint)
{
    error_code ec;
    acceptor.open(endpoint.protocol(), ec);
    if (!ec) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
        acceptor.bind(endpoint, ec);
    }
    if (!ec) {
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    return ec;
}

error_code bindDatagrams(udp::socket& socket, const tcp::endpoint& endpoint)
{
    udp::endpoint local(endpoint.address(), endpoint.port());
    error_code ec;
    socket.open(local.protocol(), ec);
    if (!ec) {
        socket.bind(local, ec);
    }
    if (!ec) {
        socket.non_blocking(true, ec);
    }
    return ec;
}

} // namespace

PeerPorts::PeerPorts(tcp::acceptor acceptor, udp::socket socket, tcp::endpoint endpoint)
    : m_acceptor(std::move(acceptor))
    , m_socket(std::move(socket))
    , m_endpoint(std::move(endpoint))
{
}

Outcome<PeerPorts> PeerPorts::Make(asio::io_context& io, std::string_view address)
{
    auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        return tl::make_unexpected(endpoint.error());
    }
    error_code ec;
    for (int i = 0; i < bindAttempts; ++i) {
        tcp::acceptor acceptor(io);
        udp::socket socket(io);
        ec = listenOn(acceptor, *endpoint);
        if (!ec) {
            auto bound = acceptor.local_endpoint(ec);
            ec = bindDatagrams(socket, bound);
            if (!ec) {
                return PeerPorts(std::move(acceptor), std::move(socket), bound);
            }
        }
        if (endpoint->port() != 0) {
            break;
        }
    }
    return makeError(ErrorCode::Unavailable, fmt::format("cannot listen on {}: {}", address, ec.message()));
}

void PeerPorts::sendDatagram(const tcp::endpoint& to, const std::string& bytes)
{
    error_code ec;
    m_socket.send_to(asio::buffer(bytes), udp::endpoint(to.address(), to.port()), 0, ec);
}

asio::awaitable<Outcome<tcp::socket>> PeerPorts::accept()
{
    auto [ec, socket] = co_await m_acceptor.async_accept(useTuple);
    if (ec) {
        co_return makeError(ErrorCode::Unavailable, ec.message());
    }
    co_return std::move(socket);
}

asio::awaitable<Outcome<std::string>> PeerPorts::receiveDatagram()
{
    std::string buf(2 * maxDatagramBytes, '\0');
    udp::endpoint from;
    auto [ec, n] = co_await m_socket.async_receive_from(asio::buffer(buf), from, useTuple);
    if (ec) {
        co_return makeError(ErrorCode::Unavailable, ec.message());
    }
    buf.resize(n);
    co_return buf;
}

void PeerPorts::close()
{
    error_code ec;
    m_acceptor.close(ec);
    m_socket.close(ec);
}

} // namespace lagoonspoke
