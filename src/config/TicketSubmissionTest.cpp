#include "config/TicketSubmission.h"

#include <catch2/catch.hpp>

#include "config/SubmissionHarnessTest.h"

namespace lagoonspoke {

namespace {

using namespace test;

SubmissionResult submit(ModelStore& store, const Ticket& ticket)
{
    return Operator(ticket).run(store);
}

} // namespace

TEST_CASE("a ticket submitted again succeeds and changes nothing, other content is refused with both digests")
{
    ModelStore store;
    auto first = makeTicket(1, "blue", 1);
    REQUIRE(submit(store, first).status == SubmissionStatus::Accepted);
    REQUIRE(submit(store, makeTicket(2, "red", 2)).status == SubmissionStatus::Accepted);
    auto head = store.value(std::string(headKey));

    REQUIRE(submit(store, first).status == SubmissionStatus::AlreadyAccepted);
    auto other = makeTicket(1, "blue", 9);
    auto refused = submit(store, other);
    REQUIRE(refused.status == SubmissionStatus::NumberTaken);
    REQUIRE(refused.message.find(first.digest().value()) != std::string::npos);
    REQUIRE(refused.message.find(other.digest().value()) != std::string::npos);
    REQUIRE(store.value(std::string(headKey)) == head);
}

TEST_CASE("a ticket whose number does not follow is refused with the expected number")
{
    ModelStore store;
    REQUIRE(submit(store, makeTicket(2, "blue", 1)).status == SubmissionStatus::WrongNumber);
    submit(store, makeTicket(1, "blue", 1));
    auto refused = submit(store, makeTicket(3, "blue", 2));
    REQUIRE(refused.status == SubmissionStatus::WrongNumber);
    REQUIRE(refused.expectedNumber == 2);
    REQUIRE(refused.message == "the ticket's number must be 2, is 3");
}

// Guards against a ticket built on a configuration that its operator never saw.
TEST_CASE("the loser of a race is told what changed and is not applied")
{
    ModelStore store;
    submit(store, makeTicket(1, "blue", 1));
    auto losing = makeTicket(2, "blue", 3);
    Operator loser(losing);
    loser.runTo<UpdateObject>(store, headKey);
    REQUIRE(submit(store, makeTicket(2, "red", 2)).status == SubmissionStatus::Accepted);
    auto result = loser.run(store);
    REQUIRE(result.status == SubmissionStatus::RaceLost);
    REQUIRE(result.changed == std::vector<ObjectKey> { { "team", "red" } });
    REQUIRE(result.expectedNumber == 3);
    REQUIRE(submit(store, losing).status == SubmissionStatus::NumberTaken);
}

// Guards against a lost operator that blocks a number for good, and against its ticket passing for accepted.
TEST_CASE("a ticket object without head update is replaced by the next operator")
{
    ModelStore store;
    submit(store, makeTicket(1, "blue", 1));
    auto lost = makeTicket(2, "blue", 3);
    Operator crashed(lost);
    crashed.runTo<UpdateObject>(store, headKey);
    auto next = makeTicket(2, "red", 2);
    REQUIRE(submit(store, next).status == SubmissionStatus::Accepted);
    REQUIRE(store.value(ticketKey(2)) == next.text());
    REQUIRE(submit(store, lost).status == SubmissionStatus::NumberTaken);

    auto again = makeTicket(3, "blue", 4);
    Operator alsoCrashed(again);
    alsoCrashed.runTo<UpdateObject>(store, headKey);
    REQUIRE(submit(store, again).status == SubmissionStatus::Accepted);
}

// The ticket object of a paused operator was replaced; without the rewritten head its late update would be accepted
// while "config/ticket/2" holds another ticket.
TEST_CASE("an operator whose ticket object is being replaced can no longer update the head")
{
    ModelStore store;
    submit(store, makeTicket(1, "blue", 1));
    Operator paused(makeTicket(2, "blue", 3));
    paused.runTo<UpdateObject>(store, headKey);
    Operator next(makeTicket(2, "red", 2));
    next.runTo<UpdateObject>(store, ticketKey(2));
    auto outcome = store.write(paused.actions.front());
    REQUIRE_FALSE(outcome);
    REQUIRE(next.run(store).status == SubmissionStatus::Accepted);
}

// The replacing operator paused before its write; its write must not land on the ticket accepted meanwhile.
TEST_CASE("a repeat writes its ticket object again even when the object is there already")
{
    ModelStore store;
    submit(store, makeTicket(1, "blue", 1));
    auto lost = makeTicket(2, "blue", 3);
    Operator crashed(lost);
    crashed.runTo<UpdateObject>(store, headKey);
    Operator paused(makeTicket(2, "red", 2));
    paused.runTo<UpdateObject>(store, ticketKey(2));
    REQUIRE(submit(store, lost).status == SubmissionStatus::Accepted);
    REQUIRE_FALSE(store.write(paused.actions.front()));
    REQUIRE(paused.run(store).status == SubmissionStatus::RaceLost);
}

TEST_CASE("after a lost answer of any write the head and the ticket are read back")
{
    ModelStore probe;
    submit(probe, makeTicket(1, "blue", 1));
    auto writes = probe.calls();
    for (int lost = 0; lost < writes; ++lost) {
        ModelStore store;
        Operator caller(makeTicket(1, "blue", 1));
        for (int i = 0; i < lost && !caller.result(); ++i) {
            caller.step(store);
        }
        if (!caller.result() && !caller.actions.empty()) {
            store.execute(caller.actions.front());
            if (std::holds_alternative<GetObject>(caller.actions.front())) {
                caller.answer(ObjectRead { makeError(ErrorCode::TimedOut, "lost") });
            } else {
                caller.answer(ObjectWritten { makeError(ErrorCode::TimedOut, "lost") });
            }
        }
        INFO("call " << lost);
        REQUIRE(caller.run(store).status == SubmissionStatus::Accepted);
        REQUIRE(store.accepted().size() == 2);
    }
}

TEST_CASE("a head update of unknown effect is never reported as not accepted")
{
    ModelStore store;
    Operator caller(makeTicket(1, "blue", 1));
    caller.runTo<UpdateObject>(store, headKey);
    caller.answer(ObjectWritten { makeError(ErrorCode::TimedOut, "lost") });
    while (!caller.result()) {
        if (caller.actions.empty()) {
            caller.wait();
        } else {
            caller.answer(ObjectRead { makeError(ErrorCode::Unavailable, "down") });
        }
    }
    REQUIRE(caller.result()->status == SubmissionStatus::Unknown);
}

TEST_CASE("a ticket with mistakes writes nothing")
{
    ModelStore store;
    auto ticket = Ticket::Make(
        R"({ "ticket": 1, "objects": [ { "kind": "team", "name": "a", "spec": { "classes": ["x"] } } ] })");
    auto result = submit(store, *ticket);
    REQUIRE(result.status == SubmissionStatus::Invalid);
    REQUIRE(formatErrors(result.errors) == "objects[0].spec.classes[0]: there is no class 'x'\n");
    REQUIRE(store.calls() == 1);
}

} // namespace lagoonspoke
