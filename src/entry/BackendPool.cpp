#include "entry/BackendPool.h"

namespace lagoonspoke {

namespace {

// Shorter than the idle limit of common servers, so that a pooled connection is seldom closed under a request.
constexpr Duration idleLimit = std::chrono::seconds(2);
constexpr std::size_t maxIdle = 256;
// A stream's last chunk may follow its last event a little later.
constexpr Duration endBound = std::chrono::milliseconds(100);

} // namespace

BackendPool::BackendPool(asio::any_io_executor executor)
    : m_state(std::make_shared<State>(std::move(executor)))
{
}

BackendPool::~BackendPool()
{
    m_state->closed = true;
    m_state->timer.cancel();
    m_state->idle.clear();
}

std::unique_ptr<BackendConnection> BackendPool::take(const std::string& address, bool onlyTunnelled)
{
    // The newest first, so that the surplus of a burst ages out.
    for (auto it = m_state->idle.end(); it != m_state->idle.begin();) {
        --it;
        if (it->connection->address() != address || (onlyTunnelled && !it->connection->isTunnelled())) {
            continue;
        }
        auto connection = std::move(it->connection);
        it = m_state->idle.erase(it);
        if (connection->isStillIdle()) {
            return connection;
        }
    }
    return nullptr;
}

void BackendPool::give(std::unique_ptr<BackendConnection> connection)
{
    if (connection->isDone()) {
        keep(m_state, std::move(connection));
        return;
    }
    auto executor = m_state->timer.get_executor();
    asio::co_spawn(executor, readEnd(m_state, std::move(connection)), asio::detached);
}

asio::awaitable<void> BackendPool::readEnd(std::shared_ptr<State> state, std::unique_ptr<BackendConnection> connection)
{
    std::string part;
    auto ec = co_await connection->readSome(part, endBound);
    if (!ec && part.empty()) {
        keep(state, std::move(connection));
    }
}

void BackendPool::keep(const std::shared_ptr<State>& state, std::unique_ptr<BackendConnection> connection)
{
    if (state->closed || state->idle.size() >= maxIdle || !connection->isReusable()) {
        return;
    }
    state->idle.push_back({ std::move(connection), readMonotonicClock() });
    scheduleSweep(state);
}

void BackendPool::scheduleSweep(const std::shared_ptr<State>& state)
{
    if (state->sweeping || state->closed || state->idle.empty()) {
        return;
    }
    state->sweeping = true;
    state->timer.expires_after(idleLimit);
    state->timer.async_wait([state](error_code ec) {
        state->sweeping = false;
        auto now = readMonotonicClock();
        while (!state->idle.empty() && (ec || now - state->idle.front().since >= idleLimit)) {
            state->idle.pop_front();
        }
        scheduleSweep(state);
    });
}

} // namespace lagoonspoke
