#include "soak/FaultProxy.h"

#include <algorithm>
#include <array>

#include "http/Endpoint.h"

namespace lagoonspoke::soak {

namespace {

// How often a connection under a fault looks whether the fault has ended.
constexpr std::chrono::milliseconds faultPollInterval(5);

constexpr std::string_view names[] = { "none", "delayed", "cut-to-server", "cut-to-client", "silent", "refused" };

// The peer sees a reset instead of an orderly end.
void reset(tcp::socket& socket)
{
    error_code ignored; // of a socket that is closed already
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

std::string_view toString(LinkFault fault)
{
    return names[static_cast<int>(fault)];
}

struct FaultProxy::Pair {
    Pair(tcp::socket accepted, asio::io_context& io)
        : client(std::move(accepted))
        , server(io)
    {
    }
    tcp::socket client;
    tcp::socket server;
};

struct FaultProxy::State {
    explicit State(asio::io_context& context)
        : io(context)
        , acceptor(context)
    {
    }
    asio::io_context& io;
    tcp::acceptor acceptor;
    tcp::endpoint server;
    LinkFault fault = LinkFault::None;
    Duration delay {};
    std::list<std::weak_ptr<Pair>> pairs;
};

Outcome<std::unique_ptr<FaultProxy>> FaultProxy::Make(asio::io_context& io)
{
    auto state = std::make_shared<State>(io);
    error_code ec;
    tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
    state->acceptor.open(any.protocol(), ec);
    ec = ec ? ec : state->acceptor.bind(any, ec);
    ec = ec ? ec : state->acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec) {
        return makeError(ErrorCode::Unavailable, ec.message());
    }
    asio::co_spawn(io, accept(state), asio::detached);
    return std::unique_ptr<FaultProxy>(new FaultProxy(std::move(state)));
}

FaultProxy::FaultProxy(std::shared_ptr<State> state)
    : m_state(std::move(state))
{
}

FaultProxy::~FaultProxy()
{
    m_state->acceptor.close();
    resetConnections();
}

void FaultProxy::setServer(tcp::endpoint server)
{
    m_state->server = std::move(server);
}

void FaultProxy::setFault(LinkFault fault, Duration delay)
{
    m_state->fault = fault;
    m_state->delay = delay;
}

void FaultProxy::resetConnections()
{
    for (auto& it : m_state->pairs) {
        if (auto pair = it.lock()) {
            reset(pair->client);
            reset(pair->server);
        }
    }
}

std::string FaultProxy::address() const
{
    return formatEndpoint(m_state->acceptor.local_endpoint());
}

asio::awaitable<void> FaultProxy::accept(std::shared_ptr<State> state)
{
    while (true) {
        auto [ec, socket] = co_await state->acceptor.async_accept(useTuple);
        if (ec == asio::error::operation_aborted) {
            co_return;
        }
        if (ec) {
            continue;
        }
        if (state->fault == LinkFault::Refused) {
            reset(socket);
            continue;
        }
        auto pair = std::make_shared<Pair>(std::move(socket), state->io);
        std::erase_if(state->pairs, [](const auto& it) { return it.expired(); });
        state->pairs.push_back(pair);
        asio::co_spawn(state->io, run(state, pair), asio::detached);
    }
}

asio::awaitable<void> FaultProxy::run(std::shared_ptr<State> state, std::shared_ptr<Pair> pair)
{
    if (auto [ec] = co_await pair->server.async_connect(state->server, useTuple); ec) {
        reset(pair->client);
        co_return;
    }
    asio::co_spawn(state->io, pump(state, pair, false), asio::detached);
    co_await pump(state, pair, true);
}

asio::awaitable<void> FaultProxy::pump(std::shared_ptr<State> state, std::shared_ptr<Pair> pair, bool toServer)
{
    auto& from = toServer ? pair->client : pair->server;
    auto& to = toServer ? pair->server : pair->client;
    asio::steady_timer timer(state->io);
    auto isHeld = [&] {
        return state->fault == LinkFault::Silent
            || state->fault == (toServer ? LinkFault::CutToServer : LinkFault::CutToClient);
    };
    std::array<char, 16384> buf;
    while (true) {
        auto [ec, n] = co_await from.async_read_some(asio::buffer(buf), useTuple);
        if (state->fault == LinkFault::Delayed) {
            timer.expires_after(state->delay);
            co_await timer.async_wait(useTuple);
        }
        while (isHeld() && from.is_open()) {
            timer.expires_after(faultPollInterval);
            co_await timer.async_wait(useTuple);
        }
        if (n > 0) {
            auto [writeError, written] = co_await asio::async_write(to, asio::buffer(buf, n), useTuple);
            ec = ec ? ec : writeError;
        }
        if (ec == asio::error::eof) {
            error_code ignored; // the other side may be gone
            to.shutdown(tcp::socket::shutdown_send, ignored);
            co_return;
        }
        if (ec) {
            reset(pair->client);
            reset(pair->server);
            co_return;
        }
    }
}

} // namespace lagoonspoke::soak
