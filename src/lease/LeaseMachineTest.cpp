#include "lease/LeaseMachine.h"

#include <deque>
#include <map>
#include <queue>
#include <random>

#include <catch2/catch.hpp>

#include "lagoonspoke/core/Overload.h"
#include "lagoonspoke/core/StoreRevision.h"

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

MonotonicTime at(Duration time)
{
    return MonotonicTime(time);
}

LeaseMachine makeMachine(const std::string& self)
{
    LeaseMachine::Options options;
    options.self = self;
    return LeaseMachine::Make(options);
}

template <typename Action> const Action* findAction(const std::vector<LeaseAction>& actions)
{
    for (const auto& action : actions) {
        if (const auto* it = std::get_if<Action>(&action)) {
            return it;
        }
    }
    return nullptr;
}

std::uint64_t callOf(const std::vector<LeaseAction>& actions)
{
    if (const auto* it = findAction<ReadLease>(actions)) {
        return it->call;
    }
    const auto* write = findAction<WriteLease>(actions);
    return write == nullptr ? 0 : write->call;
}

// Returns a machine that acquired a lease without a stored object at time zero, with version 1.
LeaseMachine makeHolder(const std::string& self)
{
    auto machine = makeMachine(self);
    auto actions = machine.handle(CandidacyChanged { true, {} }, at(0s));
    machine.handle(LeaseRead { callOf(actions), {} }, at(0s));
    actions = machine.advance(at(0s));
    machine.handle(LeaseWritten { callOf(actions), 1 }, at(0s));
    REQUIRE(machine.isHolder());
    return machine;
}

// Runs several machines, each on a clock with its own rate, against one stored object. Delays, store outages, unknown
// outcomes of writes, process suspensions and crashes are drawn from a seeded generator.
class LeaseSimulation {
public:
    // With restorations, the store comes back from a copy some seconds old every few minutes.
    explicit LeaseSimulation(std::uint32_t seed, bool restores = false)
        : m_random(seed)
        , m_restores(restores)
    {
        for (int i = 0; i < processCount; ++i) {
            m_processes.push_back(makeProcess());
        }
    }

    void run(Duration length)
    {
        for (; m_now < length; m_now += step) {
            deliverDue();
            m_outage = m_outageUntil > m_now;
            if (m_restores) {
                copyAndRestoreStore();
            }
            if (chance(0.0002)) {
                m_outageUntil = m_now + between(1s, 30s);
            }
            for (auto& process : m_processes) {
                runProcess(process);
            }
            checkMutualExclusion();
        }
    }

    int changesOfHolder = 0;
    int ordersReceived = 0;
    int restorations = 0;

private:
    static constexpr int processCount = 4;
    static constexpr Duration step = 50ms;
    static constexpr Duration maxOrderLifetime = 3s;

    struct Process {
        LeaseMachine machine;
        int number = 0;
        double clockRate = 1;
        Duration pausedUntil {};
        bool released = false;
        std::vector<LeaseEvent> inbox; // results that arrived while the process was suspended
    };
    struct ScheduledTask {
        Duration due {};
        std::uint64_t sequence = 0;
        std::function<void()> run;
        bool operator<(const ScheduledTask& other) const
        {
            return std::tie(other.due, other.sequence) < std::tie(due, sequence);
        }
    };

    Process makeProcess()
    {
        auto number = ++m_lastNumber;
        auto rate = std::uniform_real_distribution<double>(0.99, 1.01)(m_random);
        Process process { makeMachine("p" + std::to_string(number)), number, rate, {}, false, {} };
        auto actions = process.machine.handle(CandidacyChanged { true, between(0s, 2s) }, localTime(process));
        execute(process, std::move(actions));
        return process;
    }

    bool chance(double probability) { return std::bernoulli_distribution(probability)(m_random); }
    Duration between(Duration least, Duration most)
    {
        return Duration(std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(m_random));
    }
    MonotonicTime localTime(const Process& process) const
    {
        return at(Duration(static_cast<std::int64_t>(static_cast<double>(m_now.count()) * process.clockRate)));
    }
    void schedule(Duration delay, std::function<void()> run)
    {
        m_scheduledTasks.push({ m_now + delay, ++m_lastSequence, std::move(run) });
    }

    void deliverDue()
    {
        while (!m_scheduledTasks.empty() && m_scheduledTasks.top().due <= m_now) {
            auto run = m_scheduledTasks.top().run;
            m_scheduledTasks.pop();
            run();
        }
    }

    void deliverResult(int number, LeaseEvent event)
    {
        schedule(chance(0.05) ? between(0s, 4s) : between(0s, 20ms), [this, number, event] {
            for (auto& process : m_processes) {
                if (process.number == number) {
                    process.inbox.push_back(event);
                }
            }
        });
    }

    void execute(Process& process, std::vector<LeaseAction> actions)
    {
        for (auto& action : actions) {
            if (auto* read = std::get_if<ReadLease>(&action)) {
                // The read takes effect after a delay, like the write.
                schedule(
                    between(0s, 20ms), [this, number = process.number, call = read->call] { readStore(number, call); });
            } else if (auto* write = std::get_if<WriteLease>(&action)) {
                auto delay = chance(0.05) ? between(0s, 15s) : between(0s, 20ms);
                schedule(delay, [this, number = process.number, write = *write] { writeStore(number, write); });
                if (delay > 1s) {
                    deliverResult(process.number, LeaseWriteUnknown { write->call });
                }
            } else if (std::holds_alternative<LeaseAcquired>(action)) {
                ++changesOfHolder;
            }
        }
    }

    void copyAndRestoreStore()
    {
        m_copies.push_back({ m_object, m_lastVersion });
        if (m_copies.size() > static_cast<std::size_t>(longestCopyAge / step)) {
            m_copies.pop_front();
        }
        if (!m_restoring && chance(0.0004)) {
            m_outageUntil = m_now + between(0s, 3s);
            m_restoring = true;
        }
        if (m_restoring && m_now >= m_outageUntil) {
            m_restoring = false;
            auto age = std::uniform_int_distribution<std::size_t>(0, m_copies.size() - 1)(m_random);
            auto& [object, counter] = m_copies.at(age);
            m_object = object;
            m_lastVersion = counter;
            ++restorations;
        }
    }
    std::uint64_t revisionOf(std::uint64_t counter) const
    {
        return makeRevision(static_cast<std::uint64_t>(restorations), counter);
    }

    void readStore(int number, std::uint64_t call)
    {
        if (m_outage) {
            deliverResult(number, LeaseReadFailed { call });
            return;
        }
        auto found = m_object;
        if (found) {
            found->version = revisionOf(found->version);
        }
        deliverResult(number, LeaseRead { call, found, static_cast<std::uint64_t>(restorations) });
    }

    void writeStore(int number, const WriteLease& write)
    {
        if (m_outage) {
            deliverResult(number, LeaseWriteUnknown { write.call });
            return;
        }
        // A version from before a restoration matches by its number; the writer is then told that it may have written.
        bool versionMatches
            = m_object ? write.version && counterOf(*write.version) == m_object->version : !write.version;
        bool isOutdated = write.version && restorationsOf(*write.version) != restorationsOf(revisionOf(0));
        if (!versionMatches) {
            deliverResult(number, LeaseWriteConflict { write.call });
            return;
        }
        m_object = StoredLease { write.record, ++m_lastVersion };
        if (isOutdated || chance(0.1)) {
            deliverResult(number, LeaseWriteUnknown { write.call });
        } else {
            deliverResult(number, LeaseWritten { write.call, revisionOf(m_lastVersion) });
        }
    }

    void runProcess(Process& process)
    {
        if (process.pausedUntil > m_now) {
            return;
        }
        for (auto& event : std::exchange(process.inbox, {})) {
            execute(process, process.machine.handle(event, localTime(process)));
        }
        if (process.machine.nextWakeup().value_or(at(1h)) <= localTime(process)) {
            execute(process, process.machine.advance(localTime(process)));
        }
        sendOrder(process);
        if (process.pausedUntil > m_now) {
            return;
        }
        if (chance(0.0005)) {
            process.pausedUntil = m_now + between(0s, 40s);
        } else if (chance(0.0005)) {
            process.released = true;
            execute(process, process.machine.handle(LeaseReleaseRequested {}, localTime(process)));
        } else if (chance(process.released ? 0.01 : 0.0002)) {
            process = makeProcess(); // crashes and is replaced by a new process
        }
    }

    void sendOrder(Process& process)
    {
        auto token = process.machine.mayAct(localTime(process));
        if (!token) {
            return;
        }
        m_orderSenders.push_back(process.number);
        // The process may be suspended between the last check of the term and the write to the connection.
        Duration pause {};
        if (chance(0.02)) {
            pause = between(0s, 2500ms);
            process.pausedUntil = m_now + pause;
        }
        auto flightTime = chance(0.5) ? between(0s, maxOrderLifetime) : maxOrderLifetime;
        schedule(pause + flightTime, [this, sender = process.number, token = *token] { receiveOrder(sender, token); });
    }

    // The receiver does not check fencing tokens. An order with an earlier token may arrive late only if its sender
    // also holds the highest token, having reacquired its own lease after a suspension.
    void receiveOrder(int sender, FencingToken token)
    {
        ++ordersReceived;
        CHECK(m_senders.try_emplace(token, sender).first->second == sender);
        CHECK((token >= m_highestToken || sender == m_highestSender));
        if (token >= m_highestToken) {
            m_highestToken = token;
            m_highestSender = sender;
        }
    }

    void checkMutualExclusion()
    {
        CHECK(m_orderSenders.size() <= 1);
        m_orderSenders.clear();
    }

    std::mt19937 m_random;
    Duration m_now {};
    std::vector<Process> m_processes;
    std::priority_queue<ScheduledTask> m_scheduledTasks;
    std::uint64_t m_lastSequence = 0;
    int m_lastNumber = 0;
    std::optional<StoredLease> m_object;
    std::uint64_t m_lastVersion = 0;
    Duration m_outageUntil {};
    bool m_outage = false;
    std::vector<int> m_orderSenders;
    FencingToken m_highestToken {};
    int m_highestSender = 0;
    std::map<FencingToken, int> m_senders;
    struct Copy {
        std::optional<StoredLease> object;
        std::uint64_t lastVersion = 0;
    };
    static constexpr Duration longestCopyAge = 30s;
    bool m_restores = false;
    bool m_restoring = false;
    std::deque<Copy> m_copies;
};

} // namespace

// Guards against orders of an earlier holder that arrive after those of its successor, because of a suspended process,
// a delayed write, a write with an unknown outcome or clocks of different rates.
TEST_CASE("No two processes send orders under one lease in overlapping terms, despite outages and suspensions")
{
    int changes = 0;
    int orders = 0;
    for (std::uint32_t seed = 1; seed <= 40; ++seed) {
        INFO("seed " << seed);
        LeaseSimulation simulation(seed);
        simulation.run(10min);
        changes += simulation.changesOfHolder;
        orders += simulation.ordersReceived;
    }
    // Ensures that the simulation exercised changes of holder and orders.
    CHECK(changes > 400);
    CHECK(orders > 10000);
}

// Guards against epochs that are in force twice, and against a process that finds its own name in an older state of the
// lease while its successor's term has not ended.
TEST_CASE("No two processes send orders under one lease, or one epoch, although the store is restored from copies")
{
    int restorations = 0;
    int orders = 0;
    for (std::uint32_t seed = 1; seed <= 60; ++seed) {
        INFO("seed " << seed);
        LeaseSimulation simulation(seed, true);
        simulation.run(10min);
        restorations += simulation.restorations;
        orders += simulation.ordersReceived;
    }
    CHECK(restorations > 150);
    CHECK(orders > 10000);
}

// A term counted from the result of the write would outlast the wait of a candidate that read the record earlier.
TEST_CASE("The holder counts its term from before it sent the renewal")
{
    auto machine = makeHolder("a");
    machine.advance(at(1s));
    auto actions = machine.advance(at(2s));
    REQUIRE(findAction<WriteLease>(actions) != nullptr);
    machine.handle(LeaseWritten { callOf(actions), 2 }, at(3500ms));
    // Sent at 2 s, so the term ends at 12 s and the last order may leave before 9 s.
    for (auto now = 4s; now < 9s; now += 1s) {
        machine.handle(CandidacyChanged { true, {} }, at(now));
    }
    CHECK(machine.mayAct(at(8999ms)));
    CHECK_FALSE(machine.mayAct(at(9s)));
}

// Decisions made before a suspension may be out of date when the process runs again.
TEST_CASE("A suspended holder drops its lease as soon as it runs again, although its term has not ended")
{
    auto machine = makeHolder("a");
    CHECK(machine.mayAct(at(1s)));
    CHECK_FALSE(machine.mayAct(at(2500ms)));
    auto actions = machine.advance(at(2500ms));
    CHECK(findAction<LeaseLost>(actions) != nullptr);
    CHECK_FALSE(machine.isHolder());
}

// The renewal that is read back may be any attempt with an unknown outcome; a later start would overstate the term.
TEST_CASE("A renewal with an unknown outcome is read back and its term counts from the first attempt")
{
    auto machine = makeHolder("a");
    machine.advance(at(1s));
    auto actions = machine.advance(at(2s));
    actions = machine.handle(LeaseWriteUnknown { callOf(actions) }, at(3s));
    REQUIRE(findAction<ReadLease>(actions) != nullptr);
    machine.handle(LeaseRead { callOf(actions), StoredLease { { "a", 1, 1, false }, 2 } }, at(3500ms));
    CHECK(machine.isHolder());
    for (auto now = 4s; now < 9s; now += 1s) {
        machine.handle(CandidacyChanged { true, {} }, at(now));
    }
    CHECK(machine.mayAct(at(8900ms)));
    CHECK_FALSE(machine.mayAct(at(9s)));
}

// Returns when a candidate writes its own epoch, having read the lease at time zero and no other version since.
static std::optional<Duration> findTakeoverTime(bool released)
{
    auto machine = makeMachine("b");
    auto actions = machine.handle(CandidacyChanged { true, {} }, at(0s));
    machine.handle(LeaseRead { callOf(actions), StoredLease { { "a", 4, 9, released }, 20 } }, at(0s));
    for (Duration now = 500ms; now < 20s; now += 500ms) {
        actions = machine.advance(at(now));
        if (const auto* write = findAction<WriteLease>(actions)) {
            CHECK(write->record == LeaseRecord { "b", 5, 0, false });
            CHECK(write->version == 20U);
            return now;
        }
    }
    return std::nullopt;
}

// A shorter wait would let orders of the previous holder arrive after those of the new one.
TEST_CASE("A candidate waits the term plus the order lifetime, after a release the order lifetime plus clock drift")
{
    CHECK(findTakeoverTime(false) == std::optional<Duration>(13s));
    CHECK(findTakeoverTime(true) == std::optional<Duration>(3500ms));
}

// Candidates wait less after a release, which is safe only if the holder sends no order after it.
TEST_CASE("A holder that is requested to release its lease writes the release and sends no further order")
{
    auto machine = makeHolder("a");
    auto actions = machine.handle(LeaseReleaseRequested {}, at(1s));
    CHECK(findAction<LeaseLost>(actions) != nullptr);
    REQUIRE(findAction<WriteLease>(actions) != nullptr);
    CHECK(findAction<WriteLease>(actions)->record.released);
    CHECK_FALSE(machine.mayAct(at(1s)));
    machine.handle(LeaseWritten { callOf(actions), 2 }, at(1s));
    CHECK_FALSE(machine.nextWakeup());
}

} // namespace lagoonspoke
