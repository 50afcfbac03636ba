#include "soak/SoakRun.h"

#include <algorithm>
#include <cstdio>
#include <memory>

#include <absl/random/distributions.h>
#include <fmt/format.h>

#include "http/Endpoint.h"
#include "lagoonspoke/core/Text.h"

namespace lagoonspoke::soak {

namespace json = boost::json;

namespace {

// A load balancer asks for readiness about this often.
constexpr std::chrono::milliseconds observeInterval(300);
constexpr std::chrono::seconds callBound(15);
constexpr std::chrono::seconds readyBound(30);
// From the moment at which all processes are back after the last fault until calls are served again.
constexpr std::chrono::seconds recoveryBound(15);
constexpr std::chrono::seconds configurationBound(10);
constexpr std::chrono::seconds usageBound(60);
constexpr std::chrono::seconds settleTime(4);
constexpr std::chrono::milliseconds pollInterval(20);
constexpr int callsOfConnection = 20;
constexpr double leavingShare = 0.05;
constexpr std::int64_t mostTokens = 120;

} // namespace

SoakRun::SoakRun(asio::io_context& io, Options options)
    : m_io(io)
    , m_options(std::move(options))
    , m_ledger({})
    , m_system(io, m_options.system, m_ledger)
{
}

asio::awaitable<void> SoakRun::wait(Duration duration)
{
    asio::steady_timer timer(m_io, duration);
    co_await timer.async_wait(useTuple);
}

asio::awaitable<bool> SoakRun::run()
{
    if (!co_await prepare()) {
        co_return false;
    }
    for (int i = 0; i < m_options.system.size.callers; ++i) {
        ++m_runningCallers;
        asio::co_spawn(m_io, runCaller(i), asio::detached);
    }
    co_await playFaults();
    co_await checkCalm();
    co_await checkRecovery();
    m_stopCallers = true;
    while (m_runningCallers > 0) {
        co_await wait(pollInterval);
    }
    co_await checkEnd();
    m_stopObserving = true;
    co_await m_system.stopAll();
    for (const auto& violation : m_ledger.violations()) {
        fmt::print("VIOLATION {}\n", violation);
    }
    fmt::print("seed={} calls={} completed={} violations={}\n", m_options.seed, m_ledger.calls(), m_ledger.completed(),
        m_ledger.violations().size());
    co_return m_ledger.violations().empty();
}

asio::awaitable<bool> SoakRun::prepare()
{
    if (auto started = co_await m_system.start(); !started) {
        fmt::print("the system did not start: {}\n", started.error().message);
        co_return false;
    }
    if (!co_await m_system.submitFirst(m_options.configuration)) {
        fmt::print("the configuration is not accepted: {}\n", m_system.testbed().lastOutput());
        co_return false;
    }
    asio::co_spawn(m_io, observeAlways(), asio::detached);
    if (!co_await awaitReady(readyBound)) {
        fmt::print("the daemons did not become ready\n");
        co_return false;
    }
    co_return true;
}

asio::awaitable<void> SoakRun::observeAlways()
{
    while (!m_stopObserving) {
        m_system.observe();
        co_await wait(observeInterval);
    }
}

asio::awaitable<bool> SoakRun::awaitReady(Duration bound)
{
    auto end = readMonotonicClock() + bound;
    while (!m_system.areAllReady()) {
        if (readMonotonicClock() > end) {
            co_return false;
        }
        co_await wait(pollInterval);
    }
    co_return true;
}

asio::awaitable<void> SoakRun::playFaults()
{
    auto start = readMonotonicClock();
    for (const auto& fault : makeFaultPlan(m_options.seed, m_options.length, m_options.system.size)) {
        co_await wait(std::max<Duration>(Duration(0), start + fault.at - readMonotonicClock()));
        if (m_options.verbose) {
            fmt::print("fault {}\n", describe(fault));
            std::fflush(stdout);
        }
        ++m_playing;
        asio::co_spawn(
            m_io,
            [this, fault]() -> asio::awaitable<void> {
                co_await m_system.play(fault);
                --m_playing;
            },
            asio::detached);
    }
    while (m_playing > 0) {
        co_await wait(pollInterval);
    }
}

asio::awaitable<void> SoakRun::runCaller(int caller)
{
    std::mt19937_64 random(m_options.seed * 1000 + static_cast<std::uint64_t>(caller));
    while (!m_stopCallers) {
        auto rotation = m_system.rotation();
        auto daemon = rotation[absl::Uniform<std::size_t>(random, 0, rotation.size())];
        // Kept until it closes, whatever is known of the daemon's readiness.
        KeptConnection connection(m_io.get_executor());
        for (int i = 0; i < callsOfConnection && !m_stopCallers; ++i) {
            co_await makeCall(caller, daemon, connection, random);
            co_await wait(std::chrono::milliseconds(absl::Uniform(random, 5, 150)));
            if (!connection.open) {
                break;
            }
        }
    }
    --m_runningCallers;
}

asio::awaitable<void> SoakRun::makeCall(int caller, int daemon, KeptConnection& connection, std::mt19937_64& random)
{
    CallRecord record;
    record.kind = static_cast<CallKind>(absl::Uniform(random, 0, 4));
    record.team = caller % 3 == 0 ? "blue" : "red";
    record.daemon = SoakSystem::nameOf(daemon);
    record.started = readMonotonicClock();
    HttpCall call;
    auto number = ++m_lastCall;
    switch (record.kind) {
    case CallKind::Stream:
    case CallKind::Whole:
        record.id = fmt::format("call-{}", number);
        record.askedTokens = absl::Uniform<std::int64_t>(random, 1, mostTokens);
        call.method = "POST";
        call.target = "/v1/chat/completions";
        call.body = json::serialize(json::object { { "model", "m" }, { "max_tokens", record.askedTokens },
            { "stream", record.kind == CallKind::Stream },
            { "messages", json::array { json::object { { "role", "user" }, { "content", record.id } } } } });
        break;
    case CallKind::Booking:
        record.id = fmt::format("/app/book/{}", number);
        call.method = "POST";
        break;
    case CallKind::Lookup:
        record.id = fmt::format("/app/look/{}", number);
        break;
    }
    if (!record.id.starts_with("call")) {
        // The other team may not use the class of this route.
        record.team = "red";
        call.target = record.id;
    }
    call.headers.emplace_back("Authorization", "Bearer lsk_test_" + record.team);
    auto address = parseEndpoint(m_system.callerAddress(daemon));
    StreamingCall streaming(*address, std::move(call), callBound, &connection);
    asio::steady_timer leaving(m_io);
    // The timer's handler may be queued already when the call ends.
    auto isOver = std::make_shared<bool>(false);
    if (absl::Bernoulli(random, leavingShare)) {
        leaving.expires_after(std::chrono::milliseconds(absl::Uniform(random, 5, 200)));
        leaving.async_wait([&, isOver](error_code ec) {
            if (!ec && !*isOver) {
                record.left = true;
                streaming.leave();
            }
        });
    }
    co_await streaming.run();
    *isOver = true;
    leaving.cancel();
    record.ended = readMonotonicClock();
    record.left = record.left || record.ended - record.started >= callBound;
    record.result = streaming.result();
    m_ledger.noteCall(std::move(record));
}

// Without faults every instance is ready, has the newest configuration and refuses a withdrawn key.
asio::awaitable<void> SoakRun::checkCalm()
{
    m_ledger.require(co_await awaitReady(readyBound), "an instance is not ready although all faults are over");
    co_await m_system.play({ {}, configurationBound + std::chrono::seconds(3), WithdrawKey {} });
    auto isNewest = [this](const std::string& name) -> asio::awaitable<bool> {
        auto number = co_await m_system.testbed().readField(name, "metric:lagoonspoke_configuration_number");
        auto first = co_await m_system.testbed().readField("d0", "metric:lagoonspoke_configuration_number");
        co_return number&& first&&* number == *first;
    };
    co_await wait(configurationBound);
    for (int i = 1; i < m_options.system.size.daemons; ++i) {
        auto name = SoakSystem::nameOf(i);
        m_ledger.require(co_await isNewest(name), fmt::format("{} and d0 differ in their configuration", name));
    }
}

asio::awaitable<void> SoakRun::checkRecovery()
{
    co_await m_system.killAll();
    auto before = m_ledger.completed();
    co_await wait(recoveryBound);
    m_ledger.require(m_system.areAllReady(), "an instance is not ready after all were killed at once");
    m_ledger.require(m_ledger.completed() > before, "nothing is served after all instances were killed at once");
}

asio::awaitable<std::map<std::string, int>> SoakRun::readEffects()
{
    std::map<std::string, int> effects;
    auto endpoint = parseEndpoint(m_system.testbed().addressOf("service"));
    HttpCall call;
    call.target = "/effects";
    auto reply = co_await callHttp(*endpoint, std::move(call), callBound);
    m_ledger.require(reply.has_value(), "the service stand-in does not tell its effects");
    error_code ec;
    auto value = json::parse(reply ? reply->body : std::string("{}"), ec);
    for (const auto& [target, count] : value.get_object()) {
        effects[target] = static_cast<int>(count.as_int64());
    }
    co_return effects;
}

asio::awaitable<Outcome<std::map<std::string, ReportedUsage>>> SoakRun::readUsage()
{
    std::map<std::string, ReportedUsage> usage;
    for (const std::string team : { "red", "blue" }) {
        auto totals = co_await m_system.testbed().readField("usage", "totals/" + team);
        if (!totals) {
            co_return tl::make_unexpected(totals.error());
        }
        // Null before the first report of the team.
        if (totals->is_object()) {
            usage[team] = { totals->at("requests").as_int64(), totals->at("output_tokens").as_int64() };
        }
    }
    co_return usage;
}

asio::awaitable<void> SoakRun::checkEnd()
{
    m_ledger.checkEffects(co_await readEffects());
    // Reports come after the seals of the last windows.
    auto end = readMonotonicClock() + usageBound;
    auto usage = co_await readUsage();
    while (!(usage && m_ledger.isUsageWhole(*usage)) && readMonotonicClock() < end) {
        co_await wait(observeInterval);
        usage = co_await readUsage();
    }
    // What would be billed too much comes with the next windows.
    co_await wait(settleTime);
    usage = co_await readUsage();
    if (usage) {
        m_ledger.checkUsage(*usage);
    } else {
        m_ledger.require(false, "the usage stand-in does not tell its totals: " + usage.error().message);
    }
    for (const auto* field : { "different_figures", "overlapping_claims" }) {
        auto count = co_await m_system.testbed().readField("usage", field);
        m_ledger.require(
            count && *count == 0, fmt::format("usage reports: {} is {}, not 0", field, Testbed::describe(count)));
    }
    for (int i = 0; i < m_options.system.size.engines; ++i) {
        auto name = fmt::format("e{}", i);
        auto count = co_await m_system.testbed().readField(name, "credentials_seen");
        m_ledger.require(count && *count == 0, fmt::format("{} has seen a caller's key", name));
    }
    auto count = co_await m_system.testbed().readField("service", "credentials_seen");
    m_ledger.require(count && *count == 0, "the service has seen a caller's key");
}

} // namespace lagoonspoke::soak
