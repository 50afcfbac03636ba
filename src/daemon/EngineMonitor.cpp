#include "daemon/EngineMonitor.h"

#include <random>

#include "external/EngineClient.h"
#include "http/Endpoint.h"

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

constexpr Duration pollInterval = 500ms;
constexpr Duration callBound = 1s;

} // namespace

struct EngineMonitor::State : std::enable_shared_from_this<EngineMonitor::State> {
    struct Poll {
        std::uint64_t lastSequence = 0;
        bool running = false;
        bool listed = true;
    };
    using Key = std::pair<DomainId, BackendServerId>;

    State(asio::io_context& io, Callbacks callbacks)
        : io(io)
        , callbacks(std::move(callbacks))
        , timer(io)
    {
    }

    asio::awaitable<void> run();
    asio::awaitable<void> poll(Key, tcp::endpoint, Duration wait);
    void startPolls();

    asio::io_context& io;
    Callbacks callbacks;
    asio::steady_timer timer;
    std::map<Key, Poll> polls;
    std::minstd_rand random { std::random_device {}() };
    bool stopped = true;
};

asio::awaitable<void> EngineMonitor::State::run()
{
    while (!stopped) {
        startPolls();
        timer.expires_after(pollInterval);
        co_await timer.async_wait(useTuple);
    }
}

void EngineMonitor::State::startPolls()
{
    for (auto& [key, poll] : polls) {
        poll.listed = false;
    }
    // Spread over the interval, so that the engines of a domain are not all asked at once.
    std::uniform_int_distribution<Duration::rep> jitter(0, pollInterval.count() * 9 / 10);
    for (const auto& [domain, server] : callbacks.listServers()) {
        auto endpoint = parseEndpoint(server.address);
        if (!endpoint) {
            continue;
        }
        Key key { domain, server.id };
        auto& state = polls[key];
        state.listed = true;
        if (!std::exchange(state.running, true)) {
            asio::co_spawn(io, poll(std::move(key), *endpoint, Duration(jitter(random))),
                [self = shared_from_this()](const std::exception_ptr&) {});
        }
    }
    // A domain that comes back starts from the first event, as its dispatcher is new.
    std::erase_if(polls, [](const auto& it) { return !it.second.listed && !it.second.running; });
}

asio::awaitable<void> EngineMonitor::State::poll(Key key, tcp::endpoint endpoint, Duration wait)
{
    asio::steady_timer delay(io, wait);
    co_await delay.async_wait(useTuple);
    EngineClient client(std::move(endpoint), callBound);
    auto load = co_await client.fetchLoad();
    if (load && !stopped) {
        load->server = key.second;
        callbacks.report(key.first, *load);
    }
    auto events = co_await client.fetchCacheEvents(polls[key].lastSequence);
    auto& state = polls[key];
    if (events && !stopped) {
        for (auto& run : events->runs) {
            run.server = key.second;
            callbacks.report(key.first, run);
        }
        state.lastSequence = std::max(state.lastSequence, events->lastSequence);
    }
    state.running = false;
}

EngineMonitor::EngineMonitor(asio::io_context& io, Callbacks callbacks)
    : m_state(std::make_shared<State>(io, std::move(callbacks)))
{
}

EngineMonitor::~EngineMonitor()
{
    stop();
}

void EngineMonitor::start()
{
    m_state->stopped = false;
    asio::co_spawn(m_state->io, m_state->run(), [state = m_state](const std::exception_ptr&) {});
}

void EngineMonitor::stop()
{
    m_state->stopped = true;
    m_state->timer.cancel();
}

} // namespace lagoonspoke
