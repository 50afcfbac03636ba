#include <algorithm>
#include <random>
#include <set>

#include <catch2/catch.hpp>

#include "config/SubmissionHarnessTest.h"

namespace lagoonspoke {

namespace {

using namespace test;

// Two operators that submit tickets of random weight over a store with faults. Some crash between two calls and later
// submit the same ticket again, or another of the same number.
class RandomRace {
public:
    explicit RandomRace(std::uint64_t seed)
        : m_random(seed)
    {
    }

    void run()
    {
        for (int i = 0; i < 400; ++i) {
            stepOperator(m_operators[draw(2)]);
            if (!m_late.empty() && draw(3) == 0) {
                deliverLate();
            }
        }
        while (!m_late.empty()) {
            deliverLate();
        }
        for (const auto& digest : m_notAccepted) {
            INFO("reported as not accepted and never submitted again: " << digest.value());
            REQUIRE(std::ranges::count(m_store.accepted(), digest) == 0);
        }
    }

    std::size_t acceptedCount() const { return m_store.accepted().size(); }

private:
    struct Slot {
        std::optional<Ticket> ticket;
        std::optional<Operator> caller;
    };

    std::size_t draw(std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(m_random); }

    void stepOperator(Slot& slot)
    {
        if (!slot.caller) {
            if (!slot.ticket || draw(2) == 0) {
                auto number = std::max<std::size_t>(1, m_store.accepted().size());
                slot.ticket = makeTicket(number, draw(2) == 0 ? "blue" : "red", ++m_weight);
            }
            m_notAccepted.erase(slot.ticket->digest());
            slot.caller.emplace(*slot.ticket);
        } else if (const auto* result = slot.caller->result()) {
            check(*slot.ticket, *result);
            slot = {};
        } else if (draw(40) == 0) {
            slot.caller.reset();
        } else if (slot.caller->actions.empty()) {
            slot.caller->wait();
        } else {
            answer(*slot.caller);
        }
    }

    void answer(Operator& caller)
    {
        auto action = caller.actions.front();
        bool read = std::holds_alternative<GetObject>(action);
        auto fault = draw(12);
        if (fault > 1) {
            caller.answer(m_store.execute(action));
            return;
        }
        if (!read && fault == 0) {
            m_store.execute(action); // took effect, the answer is lost
        } else if (!read) {
            m_late.push_back(action); // takes effect later, if its condition still holds then
        }
        auto error = makeError(ErrorCode::TimedOut, "lost");
        caller.answer(read ? SubmissionEvent(ObjectRead { error }) : SubmissionEvent(ObjectWritten { error }));
    }

    void deliverLate()
    {
        auto it = m_late.begin() + static_cast<std::ptrdiff_t>(draw(m_late.size()));
        (void)m_store.write(*it);
        m_late.erase(it);
    }

    void check(const Ticket& ticket, const SubmissionResult& result)
    {
        const auto& accepted = m_store.accepted();
        bool isAccepted = ticket.number() < accepted.size() && accepted[ticket.number()] == ticket.digest();
        switch (result.status) {
        case SubmissionStatus::Accepted:
        case SubmissionStatus::AlreadyAccepted:
            REQUIRE(isAccepted);
            break;
        case SubmissionStatus::RaceLost:
        case SubmissionStatus::NumberTaken:
            REQUIRE(ticket.number() < accepted.size());
            REQUIRE_FALSE(isAccepted);
            break;
        case SubmissionStatus::Unavailable:
            m_notAccepted.insert(ticket.digest());
            break;
        case SubmissionStatus::Unknown:
            break;
        default:
            FAIL("unexpected: " << result.message);
        }
    }

    std::mt19937_64 m_random;
    ModelStore m_store;
    Slot m_operators[2];
    std::vector<SubmissionAction> m_late;
    std::set<ContentDigest> m_notAccepted;
    int m_weight = 0;
};

} // namespace

// Guards against two winners of one number, a lost accepted ticket, a head that goes back, and wrong reports, over
// interleavings that no single test case would think of. The store checks its history at every write.
TEST_CASE("random races of two operators with lost and late answers keep one winner per number")
{
    std::size_t accepted = 0;
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        INFO("seed " << seed);
        RandomRace race(seed);
        race.run();
        accepted += race.acceptedCount();
    }
    REQUIRE(accepted > 500);
}

} // namespace lagoonspoke
