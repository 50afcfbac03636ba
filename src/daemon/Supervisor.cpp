#include "daemon/Supervisor.h"

#include <algorithm>

#include "observe/LogLine.h"

namespace lagoonspoke {

Supervisor::Supervisor(asio::io_context& io, Options options)
    : m_io(io)
    , m_options(options)
{
}

void Supervisor::add(Child child)
{
    m_children.push_back({ std::move(child), asio::steady_timer(m_io), {}, {} });
}

void Supervisor::start()
{
    for (auto& entry : m_children) {
        startChild(entry);
    }
}

void Supervisor::startChild(Entry& entry)
{
    entry.startedAt = readMonotonicClock();
    entry.running = true;
    if (auto started = entry.child.start(); !started) {
        entry.running = false;
        restartLater(entry, started.error());
    }
}

void Supervisor::reportFailure(const std::string& name, const Error& error)
{
    auto it = std::ranges::find(m_children, name, [](const Entry& entry) { return entry.child.name; });
    if (it != m_children.end() && it->running) {
        restartLater(*it, error);
    }
}

void Supervisor::restartLater(Entry& entry, const Error& error)
{
    if (m_stopping || entry.restarting) {
        return;
    }
    entry.restarting = true;
    auto healthy = readMonotonicClock() - entry.startedAt >= m_options.healthyAfter;
    entry.backOff = healthy ? m_options.firstBackOff
                            : std::clamp(entry.backOff * 2, m_options.firstBackOff, m_options.longestBackOff);
    LogLine(LogLevel::Error, "child_failed")
        .add("child", entry.child.name)
        .add("error", error.message)
        .add("restart_ms", toMilliseconds(entry.backOff));
    asio::co_spawn(m_io, restart(entry, entry.backOff), asio::detached);
}

asio::awaitable<void> Supervisor::restart(Entry& entry, Duration wait)
{
    if (std::exchange(entry.running, false) && entry.child.stop) {
        co_await entry.child.stop();
    }
    entry.timer.expires_after(wait);
    co_await entry.timer.async_wait(useTuple);
    entry.restarting = false;
    if (!m_stopping) {
        startChild(entry);
    }
}

asio::awaitable<void> Supervisor::stop()
{
    m_stopping = true;
    for (auto it = m_children.rbegin(); it != m_children.rend(); ++it) {
        it->timer.cancel();
        if (std::exchange(it->running, false) && it->child.stop) {
            co_await it->child.stop();
        }
        LogLine(LogLevel::Info, "child_stopped").add("child", it->child.name);
    }
}

} // namespace lagoonspoke
