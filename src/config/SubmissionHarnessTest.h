#pragma once

#include <map>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "config/TicketSubmission.h"

// Shared by the tests of TicketSubmission.
namespace lagoonspoke::test {

inline constexpr TicketSubmission::Options options;

// A ticket that gives one team a weight; ticket 1 adds the objects that the team needs.
inline Ticket makeTicket(std::uint64_t number, std::string_view team, int weight)
{
    std::string objects = number > 1 ? "" : R"({ "kind": "tier", "name": "gold", "spec": { "level": 0 } },
        { "kind": "class", "name": "chat", "spec": { "tier": 0 } },)";
    return *Ticket::Make(fmt::format(R"({{ "ticket": {}, "objects": [ {} {{ "kind": "team", "name": "{}",
        "spec": {{ "classes": ["chat"], "weight": {} }} }} ] }})",
        number, objects, team, weight));
}

// The object store as its contract says, with calls that take effect late or lose their answer.
class ModelStore {
public:
    SubmissionEvent execute(const SubmissionAction& action)
    {
        ++m_calls;
        if (const auto* get = std::get_if<GetObject>(&action)) {
            auto it = m_objects.find(get->key);
            return it == m_objects.end() ? ObjectRead { makeError(ErrorCode::NotFound, "absent") }
                                         : ObjectRead { it->second };
        }
        return ObjectWritten { write(action) };
    }

    Outcome<std::uint64_t> write(const SubmissionAction& action)
    {
        if (const auto* create = std::get_if<CreateObject>(&action)) {
            return m_objects.contains(create->key) ? makeError(ErrorCode::Conflict, "exists")
                                                   : store(create->key, create->value);
        }
        const auto& update = std::get<UpdateObject>(action);
        auto it = m_objects.find(update.key);
        return it == m_objects.end() || it->second.version != update.version ? makeError(ErrorCode::Conflict, "version")
                                                                             : store(update.key, update.value);
    }

    const std::string& value(const std::string& key) const { return m_objects.at(key).value; }
    // Digests of the accepted tickets; the first stands for number 0.
    const std::vector<ContentDigest>& accepted() const { return m_accepted; }
    int calls() const { return m_calls; }

private:
    Outcome<std::uint64_t> store(const std::string& key, const std::string& value)
    {
        m_objects[key] = { value, ++m_version };
        if (key == headKey) {
            auto head = *readHead(value);
            REQUIRE(head.number + 1 >= m_accepted.size());
            REQUIRE(head.number <= m_accepted.size());
            if (head.number == m_accepted.size()) {
                m_accepted.push_back(head.ticketDigest);
            }
            REQUIRE(m_accepted[head.number] == head.ticketDigest);
        }
        // The invariant that repeats are judged by.
        for (std::size_t i = 1; i < m_accepted.size(); ++i) {
            REQUIRE(digestContent(m_objects.at(ticketKey(i)).value) == m_accepted[i]);
        }
        return m_version;
    }

    std::map<std::string, StoredValue> m_objects;
    std::uint64_t m_version = 0;
    std::vector<ContentDigest> m_accepted;
    int m_calls = 0;
};

// A submission and the call that it waits for.
struct Operator {
    MonotonicTime now {};
    TicketSubmission submission;
    std::vector<SubmissionAction> actions;

    explicit Operator(const Ticket& ticket)
        : submission(TicketSubmission::Make(ticket, options))
        , actions(submission.handle(SubmissionStarted {}, now))
    {
    }

    const SubmissionResult* result() const
    {
        const auto* it = actions.empty() ? nullptr : std::get_if<FinishSubmission>(&actions.front());
        return it ? &it->result : nullptr;
    }
    void wait()
    {
        now = *submission.nextWakeup();
        actions = submission.advance(now);
    }
    void answer(const SubmissionEvent& event) { actions = submission.handle(event, now); }
    void step(ModelStore& store)
    {
        if (actions.empty()) {
            wait();
        } else {
            answer(store.execute(actions.front()));
        }
    }
    template <typename Action> bool isAt(std::string_view key) const
    {
        const auto* it = actions.empty() ? nullptr : std::get_if<Action>(&actions.front());
        return it && it->key == key;
    }
    template <typename Action> void runTo(ModelStore& store, std::string_view key)
    {
        while (!isAt<Action>(key)) {
            REQUIRE_FALSE(result());
            step(store);
        }
    }
    SubmissionResult run(ModelStore& store)
    {
        while (!result()) {
            step(store);
        }
        return *result();
    }
};

} // namespace lagoonspoke::test
