#include "tools/load/LoadRun.h"

#include <fmt/format.h>

namespace lagoonspoke {

namespace json = boost::json;

namespace {

constexpr std::chrono::seconds statsBound(5);
constexpr std::size_t progressStep = 500;
constexpr int sharedPrefixBytes = 1024;

} // namespace

LoadRun::LoadRun(asio::io_context& io, const Profile& profile, std::vector<Arrival> plan, Options options)
    : m_io(io)
    , m_profile(profile)
    , m_plan(std::move(plan))
    , m_options(std::move(options))
    , m_report(profile)
{
}

HttpCall LoadRun::makeCall(const Arrival& arrival) const
{
    const auto& stream = m_profile.streams[arrival.stream];
    HttpCall call;
    call.method = stream.method;
    call.headers.emplace_back("Authorization", "Bearer " + stream.teams[arrival.team].key);
    if (stream.model.empty()) {
        call.target = fmt::format("{}/{}", stream.path, arrival.at.count());
        return call;
    }
    call.headers.emplace_back("x-lagoonspoke-class", stream.className);
    call.target = "/v1/chat/completions";
    std::string prompt;
    if (arrival.prefix >= 0) {
        prompt = fmt::format("{:x<{}}", fmt::format("prefix {} ", arrival.prefix), sharedPrefixBytes);
    }
    prompt += fmt::format("{:y<{}}", fmt::format("request {} ", arrival.at.count()), arrival.promptBytes);
    json::object message { { "role", "user" }, { "content", prompt } };
    json::object body { { "model", stream.model }, { "stream", true },
        { "messages", json::array { std::move(message) } }, { "output_tokens", arrival.outputTokens } };
    call.body = json::serialize(body);
    return call;
}

asio::awaitable<void> LoadRun::sendOne(std::size_t index)
{
    const auto& entry = m_options.entries[index % m_options.entries.size()];
    StreamingCall call(entry, makeCall(m_plan[index]), m_options.bound);
    co_await call.run();
    m_report.record(m_plan[index], call.result());
    ++m_finished;
    if (m_options.showProgress && m_finished % progressStep == 0) {
        printProgress();
    }
}

void LoadRun::printProgress() const
{
    fmt::print(stderr, "{} of {} requests sent, {} finished\n", m_sent, m_plan.size(), m_finished);
}

asio::awaitable<std::int64_t> LoadRun::readTokensMade()
{
    std::int64_t sum = 0;
    for (const auto& engine : m_options.engines) {
        HttpCall call;
        call.target = "/stats";
        auto reply = co_await callHttp(engine, std::move(call), statsBound);
        error_code ec;
        auto stats = reply ? json::parse(reply->body, ec) : json::value();
        const auto* made = stats.is_object() ? stats.get_object().if_contains("tokens_made") : nullptr;
        sum += made ? made->to_number<std::int64_t>() : 0;
    }
    co_return sum;
}

asio::awaitable<void> LoadRun::waitUntilFinished()
{
    asio::steady_timer timer(m_io);
    while (m_finished < m_plan.size()) {
        timer.expires_after(std::chrono::milliseconds(10));
        co_await timer.async_wait(useTuple);
    }
}

asio::awaitable<json::object> LoadRun::run()
{
    auto before = co_await readTokensMade();
    auto start = readMonotonicClock();
    asio::steady_timer timer(m_io);
    auto timerStart = std::chrono::steady_clock::now();
    for (; m_sent < m_plan.size(); ++m_sent) {
        timer.expires_at(timerStart + m_plan[m_sent].at);
        co_await timer.async_wait(useTuple);
        asio::co_spawn(m_io, sendOne(m_sent), asio::detached);
    }
    co_await waitUntilFinished();
    auto elapsed = readMonotonicClock() - start;
    if (!m_options.engines.empty()) {
        m_report.setTokensMade(co_await readTokensMade() - before);
    }
    co_return m_report.toJson(elapsed);
}

} // namespace lagoonspoke
