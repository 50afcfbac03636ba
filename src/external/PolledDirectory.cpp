#include "external/PolledDirectory.h"

#include <random>

#include "external/InstanceListClient.h"
#include "observe/LogLine.h"

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

constexpr Duration listInterval = 1s;
constexpr Duration listBound = 2s;

} // namespace

struct PolledDirectory::State {
    State(asio::io_context& io, Sink directorySink)
        : timer(io)
        , sink(std::move(directorySink))
    {
    }

    asio::steady_timer timer;
    Sink sink;
    bool answers = true;
    bool stopped = false;

    static asio::awaitable<void> poll(std::shared_ptr<State>, tcp::endpoint);
};

PolledDirectory::PolledDirectory(tcp::endpoint endpoint)
    : m_endpoint(std::move(endpoint))
{
}

PolledDirectory::~PolledDirectory()
{
    stop();
}

void PolledDirectory::start(asio::io_context& io, const std::string&, Sink sink)
{
    m_state = std::make_shared<State>(io, std::move(sink));
    asio::co_spawn(io, State::poll(m_state, m_endpoint), asio::detached);
}

void PolledDirectory::stop()
{
    if (m_state && !m_state->stopped) {
        m_state->stopped = true;
        m_state->timer.cancel();
    }
}

asio::awaitable<void> PolledDirectory::State::poll(std::shared_ptr<State> self, tcp::endpoint endpoint)
{
    InstanceListClient client(std::move(endpoint), listBound);
    std::minstd_rand random { std::random_device {}() };
    std::uniform_real_distribution<double> jitter(0.8, 1.2);
    while (!self->stopped) {
        auto list = co_await client.fetch();
        if (self->stopped) {
            break;
        }
        if (list) {
            self->sink.instances(std::move(list->instances));
            self->sink.servers(std::move(list->servers));
        } else if (self->answers) {
            LogLine(LogLevel::Warning, "instance_list_failed").add("error", list.error().message);
        }
        self->answers = list.has_value();
        self->timer.expires_after(std::chrono::duration_cast<Duration>(listInterval * jitter(random)));
        co_await self->timer.async_wait(useTuple);
    }
}

} // namespace lagoonspoke
