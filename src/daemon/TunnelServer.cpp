#include "daemon/TunnelServer.h"

#include <array>

#include "http/Endpoint.h"
#include "observe/LogLine.h"
#include "wire/Tunnel.h"

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

// Shorter than the other instance's bound, which should hear that the server is unreachable.
constexpr std::chrono::milliseconds connectBound(150);
constexpr std::chrono::milliseconds unacknowledgedBound(5000);
// A descriptor pair and 8 KiB each; more would endanger this instance's own callers.
constexpr std::size_t mostTunnels = 512;
constexpr std::size_t copiedBytes = 4096;

std::string encodeTunnelFrame(std::string_view payload)
{
    return encodeFrame(PayloadFrame { tunnelChannel, std::string(payload) }).value_or(std::string());
}

void closeSocket(tcp::socket& socket)
{
    error_code ec;
    socket.close(ec);
}

} // namespace

struct TunnelServer::Tunnel {
    explicit Tunnel(tcp::socket socket)
        : peer(std::move(socket))
        , server(peer.get_executor())
    {
    }
    tcp::socket peer;
    tcp::socket server;
    // The kernel reports a reset once. Where a write takes it, reads end as if the server had closed the connection.
    bool serverReset = false;
};

TunnelServer::TunnelServer(asio::io_context& io, Callbacks callbacks)
    : m_state(std::make_shared<State>(io, std::move(callbacks)))
{
}

TunnelServer::~TunnelServer()
{
    stop();
}

void TunnelServer::stop()
{
    m_state->stopped = true;
    for (const auto& tunnel : m_state->tunnels) {
        closeSocket(tunnel->peer);
        closeSocket(tunnel->server);
    }
}

void TunnelServer::serve(tcp::socket socket, std::string address)
{
    auto tunnel = std::make_shared<Tunnel>(std::move(socket));
    m_state->tunnels.insert(tunnel);
    asio::co_spawn(m_state->io, run(m_state, tunnel, std::move(address)), asio::detached);
}

asio::awaitable<void> TunnelServer::run(
    std::shared_ptr<State> state, std::shared_ptr<Tunnel> tunnel, std::string address)
{
    setLivenessOptions(tunnel->peer, unacknowledgedBound);
    auto server = state->callbacks.findServer(address);
    bool refused = state->cutOff || state->leaving || state->stopped || state->tunnels.size() > mostTunnels;
    // A server that this instance does not know is as good as down: most of them have just gone.
    bool isOpen = !refused && server && co_await open(tunnel, *server);
    auto reply = encodeTunnelFrame(isOpen ? tunnelOpen : refused ? tunnelUnavailable : tunnelServerUnreachable);
    auto [ec, n] = co_await asio::async_write(tunnel->peer, asio::buffer(reply), useTuple);
    if (!ec && isOpen && !state->stopped) {
        asio::co_spawn(state->io, copyToPeer(tunnel), asio::detached);
        co_await copyToServer(tunnel);
    }
    closeSocket(tunnel->peer);
    closeSocket(tunnel->server);
    state->tunnels.erase(tunnel);
}

asio::awaitable<bool> TunnelServer::open(std::shared_ptr<Tunnel> tunnel, tcp::endpoint endpoint)
{
    asio::steady_timer timer(tunnel->server.get_executor(), connectBound);
    timer.async_wait([tunnel](error_code ec) {
        if (!ec) {
            closeSocket(tunnel->server);
        }
    });
    auto [ec] = co_await tunnel->server.async_connect(endpoint, useTuple);
    bool expired = timer.cancel() == 0;
    if (ec || expired) {
        co_return false;
    }
    setLivenessOptions(tunnel->server, unacknowledgedBound);
    co_return true;
}

asio::awaitable<void> TunnelServer::copyToServer(std::shared_ptr<Tunnel> tunnel)
{
    std::array<char, copiedBytes> buf;
    while (true) {
        auto [readError, n] = co_await tunnel->peer.async_read_some(asio::buffer(buf), useTuple);
        if (readError) {
            co_return;
        }
        auto [writeError, written] = co_await asio::async_write(tunnel->server, asio::buffer(buf, n), useTuple);
        // A broken pipe is no reset: the server ended its side before, which a read shows.
        tunnel->serverReset = tunnel->serverReset || (writeError && writeError != asio::error::broken_pipe);
        // The server may have ended its side; what the other instance still sends is then read and dropped, as closing
        // a connection with unread bytes could destroy what is on its way back.
    }
}

asio::awaitable<void> TunnelServer::copyToPeer(std::shared_ptr<Tunnel> tunnel)
{
    std::array<char, copiedBytes> buf;
    while (true) {
        auto [readError, n] = co_await tunnel->server.async_read_some(asio::buffer(buf), useTuple);
        // Without the empty frame the other instance takes an answer that has no end of its own for broken.
        bool isBroken = readError && (readError != asio::error::eof || tunnel->serverReset);
        if (!isBroken) {
            auto frame = encodeTunnelFrame({ buf.data(), n });
            auto [writeError, written] = co_await asio::async_write(tunnel->peer, asio::buffer(frame), useTuple);
            if (writeError) {
                closeSocket(tunnel->peer);
                co_return;
            }
        }
        if (readError) {
            error_code ec;
            tunnel->peer.shutdown(tcp::socket::shutdown_send, ec);
            closeSocket(tunnel->server);
            co_return;
        }
    }
}

} // namespace lagoonspoke
