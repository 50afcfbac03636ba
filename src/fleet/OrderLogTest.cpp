#include "fleet/OrderLog.h"

#include <map>
#include <random>
#include <set>

#include <catch2/catch.hpp>

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

// Holders that follow each other, a store that loses answers and delays writes, and a receiver that knows order ids.
class OrderWorld {
public:
    explicit OrderWorld(std::uint32_t seed)
        : m_random(seed)
    {
        changeHolder();
    }

    void run(int steps, bool faults)
    {
        for (int i = 0; i < steps; ++i) {
            m_now += 500ms;
            if (faults && chance(0.05)) {
                changeHolder();
            }
            if (faults && m_log.isReady() && chance(0.3)) {
                StartServer body { TargetName("m" + std::to_string(++m_lastWanted)), false };
                execute(m_log.handle(OrderWanted { body }, m_now), faults);
            }
            landDelayedWrite();
            execute(m_log.advance(m_now), faults);
        }
    }

    std::size_t started() const { return m_started.size(); }
    std::size_t openOrders() const { return m_stored.open.size() + m_log.pending().size(); }
    int repeats = 0;

private:
    bool chance(double probability) { return std::bernoulli_distribution(probability)(m_random); }

    void changeHolder()
    {
        m_log = OrderLog::Make({ "dc", 1s });
        execute(m_log.handle(OrderLeaseChanged { FencingToken(++m_lastToken) }, m_now), true);
    }

    void execute(std::vector<OrderLogAction> actions, bool faults)
    {
        for (auto& action : actions) {
            if (auto* read = std::get_if<ReadOrderLog>(&action)) {
                auto version = m_version == 0 ? std::nullopt : std::optional(m_version);
                execute(m_log.handle(OrderLogRead { read->call, m_stored, version }, m_now), faults);
            } else if (auto* write = std::get_if<WriteOrderLog>(&action)) {
                executeWrite(*write, faults);
            } else if (auto* send = std::get_if<SendOrder>(&action)) {
                executeSend(send->order, faults);
            }
        }
    }

    bool apply(const WriteOrderLog& write)
    {
        if (write.version.value_or(0) != m_version) {
            return false;
        }
        m_stored = write.record;
        ++m_version;
        for (const auto& order : write.record.open) {
            // The guarantee behind harmless repeats: an id never stands for two orders.
            CHECK(m_intents.try_emplace(order.id, order.body).first->second == order.body);
        }
        return true;
    }

    void landDelayedWrite()
    {
        if (m_delayed && chance(0.3)) {
            apply(*std::exchange(m_delayed, {}));
        }
    }

    void executeWrite(const WriteOrderLog& write, bool faults)
    {
        if (faults && chance(0.1)) {
            m_delayed = write;
            execute(m_log.handle(OrderLogFailed { write.call }, m_now), faults);
        } else if (bool applied = apply(write); applied && !(faults && chance(0.1))) {
            execute(m_log.handle(OrderLogWritten { write.call, m_version }, m_now), faults);
        } else {
            execute(m_log.handle(OrderLogFailed { write.call }, m_now), faults);
        }
    }

    void executeSend(const FleetOrder& order, bool faults)
    {
        CHECK(m_intents.contains(order.id));
        auto target = std::get<StartServer>(order.body).target;
        if (m_received.insert(order.id).second) {
            CHECK(m_started.insert(target.value()).second);
        } else {
            ++repeats;
        }
        auto outcome = faults && chance(0.2) ? OrderAnswered::Outcome::Unknown : OrderAnswered::Outcome::Done;
        execute(m_log.handle(OrderAnswered { order.id, outcome }, m_now), faults);
    }

    std::mt19937 m_random;
    MonotonicTime m_now;
    OrderLog m_log = OrderLog::Make({ "dc", 1s });
    std::uint64_t m_lastToken = 0;
    int m_lastWanted = 0;
    OrderLogRecord m_stored;
    std::uint64_t m_version = 0;
    std::optional<WriteOrderLog> m_delayed;
    std::map<FleetOrderId, FleetOrderBody> m_intents;
    std::set<FleetOrderId> m_received;
    std::set<std::string> m_started;
};

} // namespace

TEST_CASE("No order is carried out twice or before its intent is stored, across holders and lost answers")
{
    std::size_t started = 0;
    int repeats = 0;
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        INFO("seed " << seed);
        OrderWorld world(seed);
        world.run(200, true);
        world.run(50, false);
        // A new holder finishes what its predecessor left, and the log does not grow for ever.
        CHECK(world.openOrders() == 0);
        started += world.started();
        repeats += world.repeats;
    }
    // Guards against a run in which nothing happened.
    CHECK(started > 3000);
    CHECK(repeats > 500);
}

TEST_CASE("An order is not sent while its intent is not stored")
{
    auto log = OrderLog::Make({ "dc", 1s });
    auto now = MonotonicTime();
    auto actions = log.handle(OrderLeaseChanged { FencingToken(3) }, now);
    actions = log.handle(OrderLogRead { std::get<ReadOrderLog>(actions.at(0)).call, {}, {} }, now);
    log.handle(OrderLogWritten { std::get<WriteOrderLog>(actions.at(0)).call, 1 }, now);
    actions = log.handle(OrderWanted { StartServer { TargetName("m"), true } }, now);
    REQUIRE(actions.size() == 1);
    auto write = std::get<WriteOrderLog>(actions.at(0));
    CHECK(log.advance(now + 5s).empty());
    actions = log.handle(OrderLogWritten { write.call, 2 }, now + 5s);
    REQUIRE(actions.size() == 1);
    CHECK(std::get<SendOrder>(actions.at(0)).order == write.record.open.at(0));
    CHECK(std::get<SendOrder>(actions.at(0)).token == FencingToken(3));
}

} // namespace lagoonspoke
