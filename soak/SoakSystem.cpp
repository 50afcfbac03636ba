#include "soak/SoakSystem.h"

#include <algorithm>
#include <csignal>

#include <fmt/format.h>

#include "http/Endpoint.h"
#include "lagoonspoke/core/Text.h"

namespace lagoonspoke::soak {

namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds pollInterval(20);
// A killed process is started again after this time, as a supervisor does.
constexpr std::chrono::milliseconds restartPause(300);
// Graceful shutdown: the calls of these callers end within 15 s, and a paused process within 6 s more.
constexpr std::chrono::seconds shutdownBound(30);

} // namespace

SoakSystem::SoakSystem(asio::io_context& io, Options options, PromiseLedger& ledger)
    : m_io(io)
    , m_options(std::move(options))
    , m_ledger(ledger)
    , m_testbed(io, m_options.programDirectory, m_options.workDirectory)
{
}

asio::awaitable<void> SoakSystem::wait(Duration duration)
{
    asio::steady_timer timer(m_io, duration);
    co_await timer.async_wait(useTuple);
}

asio::awaitable<Outcome<void>> SoakSystem::start()
{
    static constexpr const char* standins[] = { "store", "instances", "usage", "service" };
    for (const auto* kind : standins) {
        if (auto started = co_await m_testbed.startStandin(kind, kind, {}); !started) {
            co_return started;
        }
    }
    std::map<std::string, std::string> service { { "target", "app" } };
    co_await m_testbed.registerServer("service", std::move(service));
    for (int i = 0; i < m_options.size.engines; ++i) {
        auto proxy = FaultProxy::Make(m_io);
        if (!proxy) {
            co_return tl::make_unexpected(proxy.error());
        }
        m_engines.push_back(std::move(*proxy));
        if (auto started = co_await startEngine(i); !started) {
            co_return started;
        }
        std::map<std::string, std::string> server { { "address", m_engines.back()->address() },
            { "data_centre", fmt::format("dc-{}", i % 3 + 1) } };
        co_await m_testbed.registerServer(fmt::format("e{}", i), std::move(server));
    }
    auto store = parseEndpoint(m_testbed.addressOf("store"));
    for (int i = 0; i < m_options.size.daemons; ++i) {
        auto callers = FaultProxy::Make(m_io);
        auto link = FaultProxy::Make(m_io);
        if (!callers || !link || !store) {
            co_return makeError(ErrorCode::Unavailable, "no proxy for a daemon");
        }
        (*link)->setServer(*store);
        auto& daemon = m_daemons.emplace_back();
        daemon.callers = std::move(*callers);
        daemon.store = std::move(*link);
        if (auto started = co_await startDaemon(i); !started) {
            co_return started;
        }
    }
    co_return Outcome<void>();
}

asio::awaitable<Outcome<void>> SoakSystem::startEngine(int engine)
{
    auto name = fmt::format("e{}", engine);
    std::map<std::string, std::string> flags { { "token_gap_us", "2000" } };
    auto started = co_await m_testbed.startStandin(name, "engine", std::move(flags));
    if (auto address = parseEndpoint(m_testbed.addressOf(name)); started && address) {
        m_engines[static_cast<std::size_t>(engine)]->setServer(*address);
    }
    co_return started;
}

asio::awaitable<Outcome<void>> SoakSystem::startDaemon(int daemon)
{
    auto& state = m_daemons[static_cast<std::size_t>(daemon)];
    state.killed = false;
    state.terminated = false;
    state.starting = true;
    ++state.starts;
    std::map<std::string, std::string> settings { { "data_centre", fmt::format("dc-{}", daemon % 3 + 1) },
        { "store_address", state.store->address() }, { "shutdown_delay_ms", "1000" }, { "usage_window_ms", "1000" } };
    auto started = co_await m_testbed.startDaemon(nameOf(daemon), std::move(settings));
    state.starting = false;
    if (auto address = parseEndpoint(m_testbed.addressOf(nameOf(daemon))); started && address) {
        state.callers->setServer(*address);
    }
    co_return started;
}

void SoakSystem::disturb(int daemon, bool begins)
{
    for (int i = 0; i < m_options.size.daemons; ++i) {
        if (daemon >= 0 && i != daemon) {
            continue;
        }
        auto& count = m_daemons[static_cast<std::size_t>(i)].disturbances;
        count += begins ? 1 : -1;
        m_ledger.noteDisturbance(nameOf(i), count > 0, readMonotonicClock());
    }
}

void SoakSystem::kill(int daemon)
{
    m_daemons[static_cast<std::size_t>(daemon)].killed = true;
    m_daemons[static_cast<std::size_t>(daemon)].ready = false;
    m_ledger.noteKill(nameOf(daemon), readMonotonicClock());
    m_testbed.sendSignal(nameOf(daemon), SIGKILL);
}

asio::awaitable<bool> SoakSystem::awaitExit(std::string name, Duration bound)
{
    auto end = readMonotonicClock() + bound;
    while (readMonotonicClock() < end) {
        auto exited = co_await m_testbed.readField(name, "exited");
        if (exited && exited->as_bool()) {
            co_return true;
        }
        co_await wait(pollInterval);
    }
    co_return false;
}

// Waits for the end of a process that was told to end, and starts the next one. What comes meanwhile for the same
// daemon is part of the same restart.
asio::awaitable<void> SoakSystem::restartDaemon(int daemon)
{
    auto& state = m_daemons[static_cast<std::size_t>(daemon)];
    if (std::exchange(state.restarting, true)) {
        co_return;
    }
    disturb(daemon, true);
    auto name = nameOf(daemon);
    if (!co_await awaitExit(name, shutdownBound)) {
        m_ledger.require(false, fmt::format("{} did not end within its shutdown bound", name));
        kill(daemon);
        co_await awaitExit(name, shutdownBound);
    }
    auto code = co_await m_testbed.readField(name, "exit_code");
    bool expected = state.killed || (code && *code == 0);
    m_ledger.require(expected, fmt::format("{} ended with exit code {}", name, code ? json::serialize(*code) : "?"));
    Outcome<void> started;
    do {
        co_await wait(restartPause);
        started = co_await startDaemon(daemon);
        // A new process may be killed before it has started.
    } while (!started && state.killed);
    if (!started) {
        m_ledger.require(false, fmt::format("{} did not start again: {}", name, started.error().message));
    }
    state.restarting = false;
    disturb(daemon, false);
}

asio::awaitable<void> SoakSystem::killAll()
{
    m_ledger.noteKillOfAll(readMonotonicClock());
    for (int i = 0; i < m_options.size.daemons; ++i) {
        kill(i);
        asio::co_spawn(m_io, restartDaemon(i), asio::detached);
    }
    co_await awaitRestarts();
}

asio::awaitable<void> SoakSystem::awaitRestarts()
{
    // A restart that was just spawned begins in the first wait.
    do {
        co_await wait(pollInterval);
    } while (std::ranges::any_of(m_daemons, &Daemon::restarting));
}

asio::awaitable<void> SoakSystem::stopAll()
{
    m_stopping = true;
    co_await awaitRestarts();
    if (auto stopped = co_await m_testbed.stopDaemons(); !stopped) {
        m_ledger.require(false, stopped.error().message);
    }
}

std::vector<int> SoakSystem::rotation() const
{
    std::vector<int> ready;
    std::vector<int> all;
    for (int i = 0; i < m_options.size.daemons; ++i) {
        all.push_back(i);
        if (m_daemons[static_cast<std::size_t>(i)].ready) {
            ready.push_back(i);
        }
    }
    return ready.empty() ? all : ready;
}

bool SoakSystem::areAllReady() const
{
    return std::ranges::all_of(m_daemons, [](const Daemon& it) { return it.ready && !it.restarting; });
}

std::string SoakSystem::callerAddress(int daemon) const
{
    return m_daemons[static_cast<std::size_t>(daemon)].callers->address();
}

void SoakSystem::observe()
{
    for (int i = 0; i < m_options.size.daemons; ++i) {
        // A paused daemon does not answer; the others must not wait for it.
        asio::co_spawn(m_io, observeDaemon(i), asio::detached);
    }
}

asio::awaitable<void> SoakSystem::observeDaemon(int daemon)
{
    auto& state = m_daemons[static_cast<std::size_t>(daemon)];
    auto name = nameOf(daemon);
    auto starts = state.starts;
    if (state.restarting || m_stopping) {
        state.ready = false;
        co_return;
    }
    auto exited = co_await m_testbed.readField(name, "exited");
    if (exited && exited->as_bool()) {
        m_ledger.require(state.killed || state.terminated, fmt::format("{} ended by itself", name));
        asio::co_spawn(m_io, restartDaemon(daemon), asio::detached);
        co_return;
    }
    auto ready = co_await m_testbed.readField(name, "ready");
    auto number = co_await m_testbed.readField(name, "metric:lagoonspoke_configuration_number");
    // The answers may be those of the next process.
    if (starts != state.starts || state.restarting) {
        co_return;
    }
    state.ready = ready && ready->is_bool() && ready->as_bool();
    if (number && number->is_double()) {
        m_ledger.noteConfiguration(fmt::format("{}#{}", name, starts), static_cast<std::int64_t>(number->as_double()));
    }
}

} // namespace lagoonspoke::soak
