#include <functional>
#include <queue>
#include <random>
#include <utility>

#include <catch2/catch.hpp>

#include "lagoonspoke/core/Overload.h"
#include "usage/UsageLedger.h"
#include "usage/UsageSealer.h"

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

constexpr Duration step = 100ms;

// Several instances with wrong clocks that count, copy, die, are falsely believed dead and hand over, two sealers that
// both believe they hold the lease, and a store with outages, delays and lost answers. Each process counts for a team
// of its own, so that the sealed figures show which of its increments were billed.
class UsageWorld {
public:
    UsageWorld(std::uint32_t seed, Duration windowLength, Duration grace)
        : m_random(seed)
        , m_windowLength(windowLength)
    {
        for (int i = 0; i < instanceCount; ++i) {
            startProcess();
        }
        for (int i = 0; i < 2; ++i) {
            UsageSealer::Options options;
            options.grace = grace;
            options.retention = 1000;
            m_sealers.push_back({ UsageSealer::Make(options), inWindows(-6s, 6s) });
        }
        changeHolders();
    }

    void run(Duration length, bool faults)
    {
        m_faults = faults;
        for (auto end = m_now + length; m_now < end; m_now += step) {
            deliverDue();
            injectFaults();
            for (auto& [id, process] : m_processes) {
                drive(id, process);
            }
            for (std::size_t i = 0; i < m_sealers.size(); ++i) {
                driveSealer(i);
            }
        }
    }

    // Replaces all processes one after the other, twice, each as soon as the one before is gone, while the store's
    // answers are slow enough for records to miss the seal of their window.
    void replaceAll()
    {
        m_slowCalls = 0.5;
        for (int i = 0; i < 2 * instanceCount; ++i) {
            run(between(0s, 2s), false);
            auto leaver = m_processes.begin()->first;
            auto& process = m_processes.at(leaver);
            process.leavingUntil = m_now + 5s;
            changeHolders();
            run(step, false);
            execute(leaver, process.ledger.handle(UsageHandOver {}, now()));
            while (m_now < process.leavingUntil && !(process.ledger.isFlushed() && process.ledger.isCopied())) {
                run(step, false);
            }
            remove(leaver);
        }
        m_slowCalls = 0.05;
    }

    // Stops counting and lets everything that was counted be sealed.
    void settle()
    {
        m_counting = false;
        run(3min, false);
        for (auto& [id, process] : m_processes) {
            INFO("process " << id.value());
            CHECK(process.ledger.isSettled());
        }
    }

    // Every process's team is billed for a first part of its increments that contains all that were acknowledged.
    void checkSums() const
    {
        std::map<TeamId, UsageFigures> sums;
        for (const auto& [key, value] : m_objects) {
            if (auto parsed = parseUsageKey(key); parsed && parsed->name == "sealed") {
                auto sealed = decodeSealedWindow(value).value();
                for (const auto& [team, figures] : sealed.teams) {
                    sums[team] += figures;
                }
            }
        }
        for (const auto& [team, counted] : m_counted) {
            auto billed = sums[team];
            INFO("team " << team.value() << ", counted " << counted.tokens.size());
            REQUIRE(billed.requests >= counted.acknowledged);
            REQUIRE(billed.requests <= static_cast<std::int64_t>(counted.tokens.size()));
            std::int64_t tokens = 0;
            for (std::int64_t i = 0; i < billed.requests; ++i) {
                tokens += counted.tokens[static_cast<std::size_t>(i)];
            }
            CHECK(billed.outputTokens == tokens);
            if (!counted.died) {
                CHECK(billed.requests == static_cast<std::int64_t>(counted.tokens.size()));
            }
        }
    }

    int deaths = 0;
    int reports = 0;
    int carried = 0; // facts that were recorded in a later window than their own

private:
    static constexpr int instanceCount = 5;

    struct Process {
        UsageLedger ledger;
        Duration clockError {};
        Duration pausedUntil {};
        Duration leavingUntil {}; // zero while it stays
        std::vector<UsageLedgerEvent> inbox;
    };
    struct Counted {
        std::vector<std::int64_t> tokens;
        std::int64_t acknowledged = 0;
        bool died = false;
    };
    struct Sealer {
        UsageSealer decider;
        Duration clockError {};
    };
    struct Later {
        Duration due {};
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const Later& other) const { return std::tie(other.due, other.order) < std::tie(due, order); }
    };

    bool chance(double probability) { return std::bernoulli_distribution(probability)(m_random); }
    bool fault(double probability) { return m_faults && chance(probability); }
    bool isSlow() { return (m_faults || m_slowCalls > 0.05) && chance(m_slowCalls); }
    Duration between(Duration least, Duration most)
    {
        return Duration(std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(m_random));
    }
    // Errors of clocks and delays of calls that move usage by the same number of windows, whatever their length.
    Duration inWindows(Duration least, Duration most) { return between(least, most) * (m_windowLength / 1s) / 10; }
    MonotonicTime now() const { return MonotonicTime(m_now); }
    WindowNumber windowAt(Duration clockError) const { return (m_now + clockError + 1000s) / m_windowLength; }
    void later(Duration delay, std::function<void()> run)
    {
        m_later.push({ m_now + delay, ++m_lastOrder, std::move(run) });
    }
    void deliverDue()
    {
        while (!m_later.empty() && m_later.top().due <= m_now) {
            auto run = m_later.top().run;
            m_later.pop();
            run();
        }
    }

    void startProcess()
    {
        InstanceId id("i" + std::to_string(++m_lastProcess));
        UsageLedger::Options options;
        options.writer = id;
        Process process { UsageLedger::Make(options), inWindows(-12s, 12s), {}, {}, {} };
        process.ledger.handle(UsageWindowOpened { windowAt(process.clockError) }, now());
        m_processes.emplace(id, std::move(process));
        m_counted[TeamId(id.value())];
    }

    void injectFaults()
    {
        if (fault(0.001)) {
            m_outageUntil = m_now + between(1s, 40s);
        }
        // A third death within the time that copies need to be sealed could take every copy.
        if (fault(0.01) && m_now > m_nextDeath && m_now > m_outageUntil) {
            kill(std::next(m_processes.begin(), between(0ns, Duration(m_processes.size() - 1)).count())->first);
        }
        if (fault(0.002)) {
            auto suspect
                = std::next(m_processes.begin(), between(0ns, Duration(m_processes.size() - 1)).count())->first;
            tellAll(InstanceDied { suspect });
        }
    }

    void kill(InstanceId id)
    {
        ++deaths;
        m_nextDeath = m_now + 60s;
        m_counted[TeamId(id.value())].died = true;
        remove(std::move(id));
    }

    void remove(InstanceId id)
    {
        m_processes.erase(id);
        startProcess();
        changeHolders();
        later(between(3s, 5s), [this, id] { tellAll(InstanceDied { id }); });
    }

    void tellAll(const UsageLedgerEvent& event)
    {
        for (auto& [id, process] : m_processes) {
            process.inbox.push_back(event);
        }
    }

    void changeHolders()
    {
        std::vector<InstanceId> staying;
        for (const auto& [id, process] : m_processes) {
            if (process.leavingUntil == 0s) {
                staying.push_back(id);
            }
        }
        for (auto& [id, process] : m_processes) {
            auto next = static_cast<std::size_t>(std::ranges::upper_bound(staying, id) - staying.begin());
            auto holder = [&](std::size_t i) { return staying[(next + i) % staying.size()]; };
            process.inbox.emplace_back(CopyHoldersChanged { { holder(0), holder(1) } });
        }
    }

    void drive(const InstanceId& id, Process& process)
    {
        if (process.pausedUntil > m_now) {
            return;
        }
        for (auto& event : std::exchange(process.inbox, {})) {
            execute(id, process.ledger.handle(event, now()));
        }
        execute(id, process.ledger.handle(UsageWindowOpened { windowAt(process.clockError) }, now()));
        if (m_counting && process.leavingUntil == 0s && chance(0.3)) {
            auto tokens = between(1ns, 100ns).count();
            m_counted[TeamId(id.value())].tokens.push_back(tokens);
            execute(id,
                process.ledger.handle(UsageCounted { TeamId(id.value()), { 1, 0, tokens }, ++m_lastWaiter }, now()));
        }
        if (fault(0.0005)) {
            process.pausedUntil = m_now + between(0s, 30s);
        } else if (fault(0.0005)) {
            process.clockError += inWindows(-10s, 10s);
        } else if (fault(0.0005) && process.leavingUntil == 0s && m_now > m_nextDeath) {
            m_nextDeath = m_now + 60s;
            process.leavingUntil = m_now + 5s;
            execute(id, process.ledger.handle(UsageHandOver {}, now()));
            later(6s, [this, leaver = id] { remove(leaver); });
        }
    }

    void execute(const InstanceId& id, std::vector<UsageLedgerAction> actions)
    {
        for (auto& action : actions) {
            if (auto* send = std::get_if<SendUsageMessage>(&action)) {
                sendMessage(id, *send);
            } else if (auto* ack = std::get_if<UsageAcknowledged>(&action)) {
                // A waiter is acknowledged in order, so the count of copied ones is a prefix.
                auto& counted = m_counted[TeamId(id.value())];
                ++m_answered[id];
                counted.acknowledged = ack->copied ? m_answered[id] : counted.acknowledged;
            } else if (auto* create = std::get_if<CreateUsageObject>(&action)) {
                noteCarried(*create);
                call(*create, [this, id](UsageAnswer answer) { deliver(id, std::move(answer)); });
            } else if (auto* read = std::get_if<ReadUsageObject>(&action)) {
                call(*read, [this, id](UsageAnswer answer) { deliver(id, std::move(answer)); });
            }
        }
    }

    void noteCarried(const CreateUsageObject& create)
    {
        auto record = decodeUsageRecord(create.value).value();
        auto window = parseUsageKey(create.key).value().window;
        for (const auto& fact : record.facts) {
            carried += fact.window < window ? 1 : 0;
        }
    }

    void sendMessage(const InstanceId& from, const SendUsageMessage& send)
    {
        if (!fault(0.02)) {
            deliver(send.to, UsageMessageReceived { from, send.message });
        }
    }

    void deliver(const InstanceId& id, UsageLedgerEvent event)
    {
        if (auto it = m_processes.find(id); it != m_processes.end()) {
            it->second.inbox.push_back(std::move(event));
        }
    }

    // Carries a call out after a delay and gives the answer after another, unless one of them is lost.
    template <typename Call> void call(Call request, std::function<void(UsageAnswer)> answer)
    {
        later(isSlow() ? inWindows(0s, 8s) : 0s, [this, request, answer] {
            auto result = apply(request);
            if (m_outageUntil > m_now || fault(0.05)) {
                result = { request.call, UsageAnswer::Status::Failed, {}, {} };
            }
            later(isSlow() ? inWindows(0s, 3s) : 0s, [result, answer] { answer(result); });
        });
    }

    UsageAnswer apply(const ReadUsageObject& it)
    {
        auto object = m_objects.find(it.key);
        if (object == m_objects.end()) {
            return { it.call, UsageAnswer::Status::Missing, {}, {} };
        }
        return { it.call, UsageAnswer::Status::Done, object->second, {} };
    }

    UsageAnswer apply(const CreateUsageObject& it)
    {
        if (m_outageUntil > m_now) {
            return {};
        }
        bool created = m_objects.emplace(it.key, it.value).second;
        return { it.call, created ? UsageAnswer::Status::Done : UsageAnswer::Status::Refused, {}, {} };
    }

    UsageAnswer apply(const ListUsageKeys& it)
    {
        UsageAnswer answer { it.call, UsageAnswer::Status::Done, {}, {} };
        for (const auto& [key, value] : m_objects) {
            if (key.starts_with(it.prefix)) {
                answer.entries.push_back({ key, 1 });
            }
        }
        return answer;
    }

    UsageAnswer apply(const SendUsageReport& it)
    {
        ++reports;
        auto [first, added] = m_reported.try_emplace(it.report.id, it.report.teams.begin()->second);
        CHECK(first->second == it.report.teams.begin()->second);
        return { it.call, UsageAnswer::Status::Done, {}, {} };
    }

    UsageAnswer apply(const RemoveUsageObject&) { return {}; }

    void driveSealer(std::size_t index)
    {
        auto& sealer = m_sealers[index];
        if (!m_started || fault(0.002)) {
            m_started = m_started || index + 1 == m_sealers.size();
            executeSealer(index, sealer.decider.handle(UsageLeaseChanged { FencingToken(++m_lastToken) }, now()));
        }
        auto local = m_now + sealer.clockError + 1000s;
        UsageClockRead clock { windowAt(sealer.clockError), local % m_windowLength };
        executeSealer(index, sealer.decider.handle(clock, now()));
    }

    void executeSealer(std::size_t index, std::vector<UsageSealerAction> actions)
    {
        for (auto& action : actions) {
            std::visit(
                [&](auto& it) {
                    call(it, [this, index](const UsageAnswer& answer) {
                        executeSealer(index, m_sealers[index].decider.handle(answer, now()));
                    });
                },
                action);
        }
    }

    std::mt19937 m_random;
    Duration m_windowLength;
    Duration m_now {};
    bool m_faults = false;
    double m_slowCalls = 0.05; // part of the calls that take seconds
    bool m_counting = true;
    bool m_started = false;
    Duration m_outageUntil {};
    Duration m_nextDeath {};
    std::priority_queue<Later> m_later;
    std::uint64_t m_lastOrder = 0;
    std::uint64_t m_lastWaiter = 0;
    std::uint64_t m_lastToken = 0;
    int m_lastProcess = 0;
    std::map<InstanceId, Process> m_processes;
    std::vector<Sealer> m_sealers;
    std::map<TeamId, Counted> m_counted;
    std::map<InstanceId, std::int64_t> m_answered;
    std::map<std::string, std::string> m_objects;
    std::map<std::string, UsageFigures> m_reported;
};

} // namespace

TEST_CASE("Every increment is sealed exactly once, whoever dies, is believed dead or writes late")
{
    int deaths = 0;
    int reports = 0;
    int carried = 0;
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        UsageWorld world(seed, 10s, 3s);
        world.run(10min, true);
        world.settle();
        world.checkSums();
        deaths += world.deaths;
        reports += world.reports;
        carried += world.carried;
    }
    // Guards against a run in which nothing happened.
    CHECK(deaths > 40);
    CHECK(reports > 1000);
    CHECK(carried > 100);
}

// Guards against instances that never read a seal, as each record of a short window put the next read off, and against
// late records that chase the seals of a sealer whose clock is ahead by several windows.
TEST_CASE("Every increment is sealed exactly once where windows are shorter than the pauses between reads of seals")
{
    int carried = 0;
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        INFO("seed " << seed);
        UsageWorld world(seed, 1s, 1s);
        world.run(5min, true);
        world.settle();
        world.checkSums();
        carried += world.carried;
    }
    CHECK(carried > 100);
}

// Guards against usage that is lost when a process leaves before its late record is sealed, and the peers with its
// copies leave as well.
TEST_CASE("Every increment is sealed once when all processes are replaced one after the other")
{
    int carried = 0;
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        UsageWorld world(seed, 10s, 3s);
        world.run(30s, false);
        world.replaceAll();
        world.settle();
        world.checkSums();
        carried += world.carried;
    }
    CHECK(carried > 20);
}

} // namespace lagoonspoke
