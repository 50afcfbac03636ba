#include "entry/ServerConnector.h"

#include "http/Endpoint.h"
#include "observe/LogLine.h"

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

// The longest way to a server and back takes a tenth of this; the rest of the bound is left for peers.
constexpr Duration directBound = 250ms;
constexpr Duration tunnelBound = 250ms;
// An attempt that ended this much later than it should have shows that this process stood still, not the server.
constexpr Duration stallMargin = 100ms;
constexpr Duration retryInterval = 1s;
constexpr std::size_t mostPeersTried = 3;
// The kernel closes the sockets of a killed process one by one, so its listener may still take a connection after
// others have ended. Bytes on that connection are reset, at the latest when the listener is closed.
constexpr Duration listenerCloseTime = 50ms;
// Servers ignore an empty line before a request (RFC 9112, section 2.2).
constexpr std::string_view emptyLine = "\r\n";

} // namespace

ServerConnector::State::State(asio::any_io_executor anyExecutor, std::uint64_t seed)
    : executor(std::move(anyExecutor))
    , paths(seed)
    , timer(executor)
{
}

void ServerConnector::State::notifyChange()
{
    bool cutOff = paths.isCutOff();
    if (std::exchange(wasCutOff, cutOff) != cutOff) {
        LogLine(cutOff ? LogLevel::Warning : LogLevel::Info, cutOff ? "servers_cut_off" : "servers_reached_again")
            .add("through_peers", paths.cutOffCount());
        if (cutOffChanged) {
            cutOffChanged(cutOff);
        }
    }
}

void ServerConnector::State::recordDirect(const std::string& address, bool reached)
{
    paths.recordDirect(address, reached, readMonotonicClock());
    notifyChange();
}

void ServerConnector::State::recordTunnel(const std::string& address, const tcp::endpoint& peer, TunnelOutcome outcome)
{
    paths.recordTunnel(address, peer, outcome, readMonotonicClock());
    notifyChange();
}

ServerConnector::ServerConnector(asio::any_io_executor executor)
    : m_state(std::make_shared<State>(std::move(executor), std::random_device {}()))
{
}

ServerConnector::~ServerConnector()
{
    m_state->stopped = true;
    m_state->cutOffChanged = {};
    m_state->timer.cancel();
}

asio::awaitable<Reach> ServerConnector::connect(BackendConnection& connection, Duration bound)
{
    auto state = m_state;
    const auto address = connection.address();
    auto end = readMonotonicClock() + bound;
    bool startsDirectly = !state->paths.isCutOff(address);
    if (startsDirectly) {
        if (co_await connectDirectly(*state, connection, bound)) {
            co_return Reach::Direct;
        }
        if (!state->paths.hasPeers() || state->paths.isKnownDown(address, readMonotonicClock())) {
            co_return Reach::Nobody;
        }
    }
    auto reach = co_await connectThroughPeers(state, connection, end);
    if (reach == Reach::ThroughPeer && !std::exchange(state->retrying, true)) {
        asio::co_spawn(state->executor, retry(state), asio::detached);
    }
    if (reach == Reach::Unknown && !startsDirectly && co_await connectDirectly(*state, connection, directBound)) {
        co_return Reach::Direct;
    }
    co_return reach;
}

asio::awaitable<bool> ServerConnector::connectDirectly(State& state, BackendConnection& connection, Duration bound)
{
    bool hasPeers = state.paths.hasPeers();
    auto first = hasPeers ? std::min(bound, directBound) : bound;
    auto start = readMonotonicClock();
    auto ec = co_await connection.connect(first);
    if (ec == beast::error::timeout && readMonotonicClock() - start > first + stallMargin && !connection.isClosed()) {
        ec = co_await connection.connect(first);
    }
    if (!connection.isClosed()) {
        state.recordDirect(connection.address(), !ec);
    }
    co_return !ec;
}

asio::awaitable<Reach> ServerConnector::connectThroughPeers(
    std::shared_ptr<State> state, BackendConnection& connection, MonotonicTime end)
{
    auto peers = state->paths.choosePeers(readMonotonicClock());
    peers.resize(std::min(peers.size(), mostPeersTried));
    auto needed = state->paths.failuresOfDownServer();
    std::size_t failures = 0;
    for (const auto& peer : peers) {
        auto left = end - readMonotonicClock();
        if (left <= Duration(0) || connection.isClosed() || failures >= needed) {
            break;
        }
        auto outcome = co_await connection.connectThrough(peer, std::min(left, tunnelBound));
        state->recordTunnel(connection.address(), peer, outcome);
        if (outcome == TunnelOutcome::Open) {
            co_return Reach::ThroughPeer;
        }
        LogLine(LogLevel::Warning, "tunnel_failed")
            .add("server_address", connection.address())
            .add("peer", formatEndpoint(peer))
            .add("server_unreachable", outcome == TunnelOutcome::ServerUnreachable);
        failures += outcome == TunnelOutcome::ServerUnreachable ? 1 : 0;
    }
    co_return failures > 0 ? Reach::Nobody : Reach::Unknown;
}

asio::awaitable<Reach> ServerConnector::check(std::string address, Duration bound)
{
    BackendConnection connection(m_state->executor, std::move(address));
    co_return co_await connect(connection, bound);
}

asio::awaitable<bool> ServerConnector::confirmAlive(std::string address, Duration bound)
{
    BackendConnection connection(m_state->executor, std::move(address));
    auto reach = co_await connect(connection, bound);
    if (reach != Reach::Direct && reach != Reach::ThroughPeer) {
        co_return false;
    }
    std::size_t written = 0;
    auto writeError = co_await connection.send(emptyLine, {}, written, listenerCloseTime);
    if (writeError) {
        co_return false;
    }
    auto readError = co_await connection.awaitBytes(listenerCloseTime);
    // A process that goes on may wait for the rest of the request, refuse it or close the connection.
    co_return !readError || readError == asio::error::eof || readError == beast::error::timeout;
}

asio::awaitable<bool> ServerConnector::tryNextServer(State& state)
{
    auto address = state.paths.nextRetrial(readMonotonicClock());
    if (!address) {
        co_return false;
    }
    BackendConnection connection(state.executor, *address);
    auto ec = co_await connection.connect(directBound);
    state.recordDirect(*address, !ec);
    co_return !ec;
}

asio::awaitable<void> ServerConnector::retry(std::shared_ptr<State> state)
{
    while (!state->stopped) {
        state->timer.expires_after(retryInterval);
        co_await state->timer.async_wait(useTuple);
        bool reached = !state->stopped;
        while (reached) {
            reached = co_await tryNextServer(*state) && !state->stopped;
        }
        auto trial = state->paths.nextPeerTrial(readMonotonicClock());
        if (trial && !state->stopped) {
            const auto& [address, peer] = *trial;
            BackendConnection connection(state->executor, address);
            auto outcome = co_await connection.connectThrough(peer, tunnelBound);
            state->recordTunnel(address, peer, outcome);
        }
        if (state->paths.cutOffCount() == 0) {
            break;
        }
    }
    state->retrying = false;
}

} // namespace lagoonspoke
