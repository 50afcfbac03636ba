// How each planned fault is played, from its beginning to its end.

#include <csignal>
#include <fstream>

#include <fmt/format.h>

#include "lagoonspoke/core/Text.h"
#include "soak/SoakSystem.h"

namespace lagoonspoke::soak {

namespace json = boost::json;

namespace {

// After this time no instance grants work on a server that leaves, and running requests have ended.
constexpr std::chrono::seconds drainBound(4);
constexpr std::chrono::seconds ticketBound(30);
constexpr std::chrono::milliseconds ticketRetryPause(200);
constexpr std::chrono::milliseconds pollInterval(20);

// Exit codes of lagoonspokectl, see docs/OPERATIONS.md.
constexpr int accepted = 0;
constexpr int takenByOther = 3;

struct TeamOfSoak {
    const char* name;
    const char* digest; // of its key
    const char* classes;
};

constexpr TeamOfSoak teams[] = {
    { "red", "d47fa356f4ee208b6eede905e41fced384cd21d76fb86fafefd60418cc1a84ab", R"(["high","low"])" },
    { "blue", "015672d3d3d1256d22da645e2d092ffaac39a25777b91db1b04388bc03d4f548", R"(["low"])" },
};

json::value neutralOf(const std::string& field)
{
    if (field == "slow_factor") {
        return 1.0;
    }
    return field == "truncate_after" ? json::value(-1) : json::value(false);
}

json::value valueOf(const EngineFault& fault)
{
    if (fault.field == "slow_factor") {
        return fault.value;
    }
    return fault.field == "truncate_after" ? json::value(static_cast<std::int64_t>(fault.value)) : json::value(true);
}

} // namespace

asio::awaitable<void> SoakSystem::play(PlannedFault fault)
{
    co_await std::visit([&](auto action) { return apply(std::move(action), fault.lasts); }, std::move(fault.action));
}

asio::awaitable<void> SoakSystem::postFault(std::string name, std::string field, json::value value)
{
    json::object faults;
    faults[field] = std::move(value);
    // A stand-in that is down right now starts without faults.
    co_await m_testbed.postFaults(std::move(name), std::move(faults));
}

FaultProxy& SoakSystem::proxyOf(const LinkOf& link)
{
    auto index = static_cast<std::size_t>(link.index);
    if (link.kind == LinkOf::Kind::Engine) {
        return *m_engines[index];
    }
    return link.kind == LinkOf::Kind::Store ? *m_daemons[index].store : *m_daemons[index].callers;
}

asio::awaitable<void> SoakSystem::apply(KillDaemon fault, Duration)
{
    kill(fault.daemon);
    co_await restartDaemon(fault.daemon);
}

asio::awaitable<void> SoakSystem::apply(RestartDaemon fault, Duration)
{
    auto& state = m_daemons[static_cast<std::size_t>(fault.daemon)];
    state.terminated = true;
    // A process that has not started yet has nothing to shut down and ends by the signal.
    state.killed = state.killed || state.starting;
    m_testbed.sendSignal(nameOf(fault.daemon), SIGTERM);
    co_await m_testbed.registerDaemon(nameOf(fault.daemon), true);
    co_await restartDaemon(fault.daemon);
}

asio::awaitable<void> SoakSystem::apply(PauseDaemon fault, Duration lasts)
{
    auto name = nameOf(fault.daemon);
    disturb(fault.daemon, true);
    ++m_active[name];
    m_testbed.sendSignal(name, SIGSTOP);
    co_await wait(lasts);
    if (--m_active[name] == 0) {
        m_testbed.sendSignal(name, SIGCONT);
    }
    disturb(fault.daemon, false);
}

asio::awaitable<void> SoakSystem::apply(KillAllDaemons, Duration)
{
    co_await killAll();
}

asio::awaitable<void> SoakSystem::apply(KillEngine fault, Duration lasts)
{
    auto name = fmt::format("e{}", fault.engine);
    if (m_active[name]++ == 0) {
        m_testbed.sendSignal(name, SIGKILL);
    }
    co_await wait(lasts);
    if (--m_active[name] == 0) {
        auto started = co_await startEngine(fault.engine);
        // The next fault may kill it while it starts, and starts it again then.
        m_ledger.require(started || m_active[name] > 0, "an engine stand-in did not start again");
    }
}

asio::awaitable<void> SoakSystem::apply(EngineFault fault, Duration lasts)
{
    auto name = fmt::format("e{}", fault.engine);
    ++m_active[name + fault.field];
    co_await postFault(name, fault.field, valueOf(fault));
    co_await wait(lasts);
    if (--m_active[name + fault.field] == 0) {
        co_await postFault(name, fault.field, neutralOf(fault.field));
    }
}

asio::awaitable<void> SoakSystem::apply(LoseServiceAnswers, Duration lasts)
{
    ++m_active["lost answers"];
    co_await postFault("service", "drop_responses", true);
    co_await wait(lasts);
    if (--m_active["lost answers"] == 0) {
        co_await postFault("service", "drop_responses", false);
    }
}

asio::awaitable<void> SoakSystem::apply(EngineLeaves fault, Duration lasts)
{
    auto name = fmt::format("e{}", fault.engine);
    auto isDisturbed
        = [&] { return std::ranges::any_of(m_daemons, [](const auto& it) { return it.disturbances > 0; }); };
    ++m_active[name + " leaves"];
    bool disturbed = isDisturbed();
    std::map<std::string, std::string> server { { "leaving", "true" } };
    co_await m_testbed.registerServer(name, server);
    co_await wait(std::min<Duration>(lasts, drainBound));
    disturbed = disturbed || isDisturbed();
    auto before = co_await m_testbed.readField(name, "received");
    if (lasts > drainBound) {
        co_await wait(lasts - drainBound);
    }
    auto after = co_await m_testbed.readField(name, "received");
    disturbed = disturbed || isDisturbed();
    if (lasts > drainBound && !disturbed && before && after && before->is_int64() && after->is_int64()) {
        m_ledger.require(after->as_int64() <= before->as_int64(), fmt::format("{} got work long after it left", name));
    }
    if (--m_active[name + " leaves"] == 0) {
        server["leaving"] = "false";
        co_await m_testbed.registerServer(name, server);
    }
}

asio::awaitable<void> SoakSystem::apply(StoreDown, Duration lasts)
{
    disturb(-1, true);
    if (m_active["store down"]++ == 0) {
        m_ledger.noteStoreDown(true, readMonotonicClock());
        co_await postFault("store", "down", true);
    }
    co_await wait(lasts);
    if (--m_active["store down"] == 0) {
        m_ledger.noteStoreDown(false, readMonotonicClock());
        co_await postFault("store", "down", false);
    }
    disturb(-1, false);
}

asio::awaitable<void> SoakSystem::apply(StoreSlow fault, Duration lasts)
{
    ++m_active["store slow"];
    disturb(-1, true);
    co_await postFault("store", "delay_ms", std::chrono::ceil<std::chrono::milliseconds>(fault.delay).count());
    co_await wait(lasts);
    if (--m_active["store slow"] == 0) {
        co_await postFault("store", "delay_ms", 0);
    }
    disturb(-1, false);
}

asio::awaitable<void> SoakSystem::apply(LoseStoreAnswers fault, Duration)
{
    co_await postFault("store", "lose_write_responses", fault.writes);
}

asio::awaitable<void> SoakSystem::apply(UsageInterfaceDown, Duration lasts)
{
    ++m_active["usage down"];
    co_await postFault("usage", "down", true);
    co_await wait(lasts);
    if (--m_active["usage down"] == 0) {
        co_await postFault("usage", "down", false);
    }
}

asio::awaitable<void> SoakSystem::apply(BreakLink fault, Duration lasts)
{
    auto& proxy = proxyOf(fault.link);
    bool ofDaemon = fault.link.kind != LinkOf::Kind::Engine;
    auto key = fmt::format("link {} {}", static_cast<int>(fault.link.kind), fault.link.index);
    if (ofDaemon) {
        disturb(fault.link.index, true);
    }
    ++m_active[key];
    proxy.setFault(fault.fault, std::chrono::milliseconds(150));
    co_await wait(lasts);
    if (--m_active[key] == 0) {
        proxy.setFault(LinkFault::None);
    }
    if (ofDaemon) {
        disturb(fault.link.index, false);
    }
}

asio::awaitable<void> SoakSystem::apply(ResetLink fault, Duration)
{
    bool ofDaemon = fault.link.kind != LinkOf::Kind::Engine;
    if (ofDaemon) {
        disturb(fault.link.index, true);
    }
    proxyOf(fault.link).resetConnections();
    co_await wait(pollInterval);
    if (ofDaemon) {
        disturb(fault.link.index, false);
    }
}

std::string SoakSystem::writeTicket(const std::string& name, const std::string& team, int weight, bool withKey) const
{
    const auto& of = team == teams[0].name ? teams[0] : teams[1];
    auto path = fmt::format("{}/{}.json", m_options.workDirectory, name);
    std::ofstream(path) << fmt::format(
        R"({{"ticket":{},"objects":[{{"kind":"team","name":"{}","spec":{{"weight":{},"keys":[{}],"classes":{}}}}}]}})",
        m_nextTicket, team, weight, withKey ? fmt::format("\"{}\"", of.digest) : "", of.classes);
    return path;
}

asio::awaitable<int> SoakSystem::submit(std::string file)
{
    std::vector<std::string> arguments { "ticket", "submit", std::move(file) };
    arguments.push_back("--store=" + m_testbed.addressOf("store"));
    co_return (co_await m_testbed.runProgram("lagoonspokectl", std::move(arguments))).value_or(-1);
}

asio::awaitable<bool> SoakSystem::submitFirst(std::string file)
{
    bool done = co_await submit(std::move(file)) == accepted;
    m_nextTicket += done;
    co_return done;
}

asio::awaitable<void> SoakSystem::lockTickets()
{
    while (m_ticketsLocked) {
        co_await wait(pollInterval);
    }
    m_ticketsLocked = true;
}

asio::awaitable<bool> SoakSystem::changeTeam(std::string team, int weight, bool withKey)
{
    co_await lockTickets();
    auto file = writeTicket("change", team, weight, withKey);
    // The same ticket may be submitted again while it is not known whether it was accepted.
    auto end = readMonotonicClock() + ticketBound;
    int code = -1;
    while (code != accepted && readMonotonicClock() < end) {
        code = co_await submit(file);
        if (code != accepted) {
            co_await wait(ticketRetryPause);
        }
    }
    m_nextTicket += code == accepted ? 1 : 0;
    m_ledger.require(code == accepted, fmt::format("ticket {} is not accepted: exit code {}", m_nextTicket, code));
    m_ticketsLocked = false;
    co_return code == accepted;
}

asio::awaitable<void> SoakSystem::apply(SubmitTicket, Duration lasts)
{
    co_await changeTeam("red", 1 + static_cast<int>(lasts.count() % 3), true);
}

asio::awaitable<void> SoakSystem::apply(RaceTickets, Duration)
{
    co_await lockTickets();
    std::vector<int> codes;
    auto first = writeTicket("race-1", "red", 3, true);
    auto second = writeTicket("race-2", "red", 4, true);
    auto run = [&](std::string file) -> asio::awaitable<void> {
        int code = -1;
        auto end = readMonotonicClock() + ticketBound;
        while (code != accepted && code != takenByOther && readMonotonicClock() < end) {
            code = co_await submit(file);
        }
        codes.push_back(code);
    };
    asio::co_spawn(m_io, run(first), asio::detached);
    co_await run(second);
    while (codes.size() < 2) {
        co_await wait(pollInterval);
    }
    std::ranges::sort(codes);
    m_ledger.require(codes == std::vector<int> { accepted, takenByOther },
        fmt::format(
            "of two tickets with one number not exactly one is accepted: exit codes {} and {}", codes[0], codes[1]));
    m_nextTicket += codes[0] == accepted ? 1 : 0;
    m_ticketsLocked = false;
}

asio::awaitable<void> SoakSystem::apply(WithdrawKey, Duration lasts)
{
    if (m_active["withdrawn"]++ == 0) {
        m_ledger.noteKey("blue", false, readMonotonicClock());
        co_await changeTeam("blue", 1, false);
        m_ledger.noteKey("blue", false, readMonotonicClock());
    }
    co_await wait(lasts);
    if (--m_active["withdrawn"] == 0) {
        m_ledger.noteKey("blue", true, readMonotonicClock());
        co_await changeTeam("blue", 1, true);
        m_ledger.noteKey("blue", true, readMonotonicClock());
    }
}

} // namespace lagoonspoke::soak
