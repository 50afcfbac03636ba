#include "entry/RequestMachine.h"

#include <algorithm>

#include <catch2/catch.hpp>

namespace lagoonspoke {

namespace {

struct Paper {
    RetryBudget budget;
    RequestMachine machine;
    std::vector<RequestAction> last;

    std::vector<RequestAction>& post(const RequestEvent& event) { return last = machine.handle(event); }
    template <typename Action> const Action* find() const
    {
        for (const auto& action : last) {
            if (const auto* it = std::get_if<Action>(&action)) {
                return it;
            }
        }
        return nullptr;
    }
    void admit(bool idempotent, bool resumable)
    {
        post(HeadRead {});
        post(Authenticated {});
        post(BodyRead { idempotent, resumable, &budget });
    }
    void send(const char* server, bool reused = false)
    {
        post(Granted { BackendServerId(server) });
        post(Connected { reused });
        post(RequestSent {});
    }
    void stream(const char* server)
    {
        send(server);
        post(AnswerStarted {});
        post(CallerReached {});
    }
    FinishOutcome released() const
    {
        REQUIRE(find<ReleaseGrant>());
        return find<ReleaseGrant>()->outcome;
    }
};

} // namespace

// Guards against a step that is skipped or repeated on the way of an undisturbed request.
TEST_CASE("an undisturbed request passes every state in order")
{
    Paper paper;
    REQUIRE(paper.machine.state() == RequestState::ReadHead);
    paper.post(HeadRead {});
    REQUIRE(paper.find<DoAuthenticate>());
    paper.post(Authenticated {});
    REQUIRE(paper.find<DoReadBody>());
    paper.post(BodyRead { true, true, &paper.budget });
    REQUIRE(paper.find<AskForGrant>()->attempt == 1);
    paper.post(Granted { BackendServerId("a") });
    REQUIRE_FALSE(paper.find<OpenConnection>()->fresh);
    paper.post(Connected {});
    REQUIRE(paper.machine.state() == RequestState::Send);
    paper.post(RequestSent {});
    REQUIRE(paper.find<AwaitAnswer>());
    paper.post(AnswerStarted {});
    REQUIRE(paper.find<RelayAnswer>());
    paper.post(AnswerCompleted {});
    REQUIRE(paper.released() == FinishOutcome::Completed);
    REQUIRE(paper.find<FinishAnswer>());
    REQUIRE(paper.machine.state() == RequestState::Finish);
}

// Guards against a non-idempotent request that runs twice or is reported as not run.
TEST_CASE("a non-idempotent request is never sent again and is unknown once its first write began")
{
    Paper paper;
    paper.admit(false, false);
    paper.post(Granted { BackendServerId("a") });
    REQUIRE(paper.find<OpenConnection>()->fresh);
    paper.post(Connected {});
    SECTION("the first write fails without a byte")
    {
        paper.post(AttemptFailed { AttemptFailure::Broken, false });
    }
    SECTION("the connection breaks before the answer")
    {
        paper.post(RequestSent {});
        paper.post(AttemptFailed { AttemptFailure::Broken });
    }
    SECTION("the answer is truncated before the caller got any of it")
    {
        paper.post(RequestSent {});
        paper.post(AnswerStarted {});
        paper.post(AttemptFailed { AttemptFailure::Broken });
    }
    REQUIRE(paper.find<Refuse>());
    REQUIRE(paper.find<Refuse>()->run == RunStatus::Unknown);
    REQUIRE(paper.machine.state() == RequestState::Finish);
}

// Guards against giving up a non-idempotent request that no backend server saw.
TEST_CASE("a request that no backend server saw is retried elsewhere and refused as not run")
{
    Paper paper;
    paper.admit(false, false);
    paper.post(Granted { BackendServerId("a") });
    paper.post(AttemptFailed { AttemptFailure::Unreachable, false });
    REQUIRE(paper.released() == FinishOutcome::ServerFailed);
    REQUIRE(paper.find<AskForGrant>()->attempt == 2);
    REQUIRE(paper.find<AskForGrant>()->excluded == std::vector { BackendServerId("a") });
    paper.post(PlacementRefused { RefusalCode::NoServers, std::chrono::seconds(3) });
    REQUIRE(paper.find<Refuse>()->code == CallerError::NoServers);
    REQUIRE(paper.find<Refuse>()->run == RunStatus::NotRun);
    REQUIRE(paper.find<Refuse>()->retryAfter == std::chrono::seconds(3));
}

// Guards against one instance that is cut off from the servers having them ejected for the callers of all others.
TEST_CASE("a failure at an instance that is cut off says nothing of the server")
{
    Paper paper;
    paper.admit(true, false);
    SECTION("no connection")
    {
        paper.post(Granted { BackendServerId("a") });
        paper.post(AttemptFailed { AttemptFailure::Unreachable, false, false, true });
    }
    SECTION("a connection that broke")
    {
        paper.send("a");
        paper.post(AttemptFailed { AttemptFailure::Broken, true, false, true });
    }
    REQUIRE(paper.released() == FinishOutcome::Aborted);
    REQUIRE(paper.find<AskForGrant>()->excluded.empty());
}

// Guards against refusing as not run a request that an earlier attempt sent.
TEST_CASE("a refusal after a sent attempt says unknown")
{
    Paper paper;
    paper.admit(true, false);
    paper.send("a");
    paper.post(AttemptFailed { AttemptFailure::Broken });
    REQUIRE(paper.released() == FinishOutcome::ServerDied);
    paper.post(PlacementRefused { RefusalCode::Overloaded });
    REQUIRE(paper.find<Refuse>()->run == RunStatus::Unknown);
}

// Guards against a stream that is repeated from the start after the caller got part of it.
TEST_CASE("a broken stream resumes only when the answer can be resumed")
{
    Paper paper;
    bool resumable = GENERATE(true, false);
    paper.admit(true, resumable);
    paper.stream("a");
    paper.post(AttemptFailed { AttemptFailure::Broken });
    REQUIRE(paper.released() == FinishOutcome::ServerDied);
    REQUIRE((paper.find<AskForGrant>() != nullptr) == resumable);
    REQUIRE((paper.find<CutAnswer>() != nullptr) == !resumable);
}

// Guards against an error response in the middle of a stream that already began.
TEST_CASE("a started answer that cannot go on is cut, not refused")
{
    Paper paper;
    paper.admit(true, true);
    paper.stream("a");
    paper.post(AttemptFailed { AttemptFailure::Broken });
    paper.post(PlacementRefused { RefusalCode::NoServers });
    REQUIRE(paper.find<CutAnswer>()->code == CallerError::NoServers);
    REQUIRE_FALSE(paper.find<Refuse>());
}

// Guards against work that is lost, or run twice, when a dispatcher takes a grant back.
TEST_CASE("a revoked grant is obeyed only by requests that can go on elsewhere")
{
    Paper paper;
    bool idempotent = GENERATE(true, false);
    paper.admit(idempotent, idempotent);
    REQUIRE_FALSE(paper.machine.canMove());
    paper.post(Granted { BackendServerId("a") });
    REQUIRE(paper.machine.canMove());
    paper.post(Connected {});
    paper.post(RequestSent {});
    REQUIRE(paper.machine.canMove() == idempotent);
    if (idempotent) {
        paper.post(AnswerStarted {});
        paper.post(CallerReached {});
        paper.post(AttemptFailed { AttemptFailure::Preempted });
        REQUIRE(paper.released() == FinishOutcome::Aborted);
        REQUIRE(paper.find<AskForGrant>()->excluded.empty());
        paper.stream("a");
        paper.post(AttemptFailed { AttemptFailure::ServerLeaving });
        REQUIRE(paper.find<AskForGrant>()->excluded == std::vector { BackendServerId("a") });
    }
}

// Guards against a request that is sent again to a leaving server, and against one that other servers get too often.
TEST_CASE("a request whose grant has ended goes to another server, as long as it may be repeated")
{
    Paper paper;
    paper.admit(true, false);
    bool mayRepeat = GENERATE(true, false);
    bool reconnects = GENERATE(true, false);
    paper.send("a", true);
    if (!mayRepeat) {
        while (paper.budget.hasCredit()) {
            paper.budget.take();
        }
    }
    if (reconnects) {
        // The news comes while the request is about to be sent again.
        paper.post(AttemptFailed { AttemptFailure::Broken });
        REQUIRE(paper.find<OpenConnection>());
        CHECK(paper.machine.canMoveUnsent());
        paper.post(AttemptFailed { AttemptFailure::ServerLeaving });
    } else {
        CHECK_FALSE(paper.machine.canMoveUnsent());
        paper.post(GrantEnded {});
        CHECK_FALSE(paper.machine.suggestsDeath(AttemptFailed { AttemptFailure::Broken }));
        paper.post(AttemptFailed { AttemptFailure::Broken });
    }
    CHECK_FALSE(paper.find<OpenConnection>());
    CHECK(paper.released() == (reconnects ? FinishOutcome::Aborted : FinishOutcome::Disconnected));
    if (mayRepeat) {
        REQUIRE(paper.find<AskForGrant>());
        CHECK(paper.find<AskForGrant>()->excluded == std::vector { BackendServerId("a") });
    } else {
        REQUIRE(paper.find<Refuse>());
        CHECK(paper.find<Refuse>()->code == CallerError::BackendFailed);
        CHECK(paper.find<Refuse>()->run == RunStatus::Unknown);
    }
}

// Guards against retries that multiply an overload.
TEST_CASE("retries of sent requests end with the domain's budget and after three attempts")
{
    Paper paper;
    SECTION("budget")
    {
        while (paper.budget.hasCredit()) {
            paper.budget.take();
        }
        paper.admit(true, false);
        paper.send("a");
        paper.post(AttemptFailed { AttemptFailure::TimedOut });
    }
    SECTION("attempts")
    {
        paper.admit(true, false);
        for (const auto* server : { "a", "b" }) {
            paper.send(server);
            paper.post(AttemptFailed { AttemptFailure::TimedOut });
            REQUIRE(paper.find<AskForGrant>());
        }
        paper.send("c");
        paper.post(AttemptFailed { AttemptFailure::TimedOut });
    }
    REQUIRE(paper.find<Refuse>()->code == CallerError::BackendTimeout);
    REQUIRE(paper.find<Refuse>()->run == RunStatus::Unknown);
}

// Guards against a request that crashes backend servers and hides behind pooled connections.
TEST_CASE("a broken pooled connection is replaced once, and a second break counts as the server's death")
{
    Paper paper;
    paper.admit(true, false);
    paper.send("a", true);
    paper.post(AttemptFailed { AttemptFailure::Broken });
    REQUIRE(paper.find<OpenConnection>()->fresh);
    REQUIRE_FALSE(paper.find<ReleaseGrant>());
    paper.post(AttemptFailed { AttemptFailure::Unreachable, false });
    REQUIRE(paper.released() == FinishOutcome::ServerDied);
}

// Guards against passing on a backend server's failure that another server could answer.
TEST_CASE("an error status is retried when idempotent, else it is the answer")
{
    Paper paper;
    bool idempotent = GENERATE(true, false);
    paper.admit(idempotent, false);
    paper.send("a");
    paper.post(AnswerStarted { 503 });
    if (idempotent) {
        REQUIRE(paper.released() == FinishOutcome::ServerFailed);
        REQUIRE(paper.find<AskForGrant>());
    } else {
        REQUIRE(paper.find<RelayAnswer>());
        paper.post(AnswerCompleted {});
        REQUIRE(paper.released() == FinishOutcome::ServerFailed);
        REQUIRE(paper.find<FinishAnswer>());
    }
}

// Guards against a grant that is kept, or an answer that looks complete, after the request was stopped.
TEST_CASE("a stop ends the request in every state")
{
    Paper paper;
    int state = GENERATE(range(0, 8));
    auto reason = GENERATE(CallerError::KeyWithdrawn, CallerError::DeadlinePassed, CallerError::CallerLeft);
    const RequestEvent steps[] = { HeadRead {}, Authenticated {}, BodyRead { true, true, &paper.budget },
        Granted { BackendServerId("a") }, Connected {}, RequestSent {}, AnswerStarted {} };
    for (int i = 0; i < state; ++i) {
        paper.post(steps[i]);
    }
    paper.post(CallerReached {});
    paper.post(Stopped { reason });
    REQUIRE(paper.machine.state() == RequestState::Finish);
    REQUIRE_FALSE(paper.find<FinishAnswer>());
    auto expectedRun = state >= 5 ? RunStatus::Unknown : RunStatus::NotRun;
    if (reason == CallerError::CallerLeft) {
        REQUIRE(paper.find<DropCaller>()->run == expectedRun);
    } else if (state == 7) {
        REQUIRE(paper.find<CutAnswer>()->code == reason);
    } else {
        REQUIRE(paper.find<Refuse>()->code == reason);
        REQUIRE(paper.find<Refuse>()->run == expectedRun);
    }
    if (state >= 3) {
        REQUIRE(paper.released()
            == (reason == CallerError::CallerLeft ? FinishOutcome::CallerLeft : FinishOutcome::Aborted));
    }
}

// Guards against a request that is concluded without an answer, as no transition takes an event of its attempt.
TEST_CASE("every event in every state leads on, or ends the request with an answer")
{
    RetryBudget budget;
    const RequestEvent head = HeadRead {};
    const RequestEvent admitted = Authenticated {};
    const RequestEvent body = BodyRead { true, true, &budget };
    const RequestEvent granted = Granted { BackendServerId("a") };
    const RequestEvent refused = PlacementRefused { RefusalCode::Overloaded };
    const RequestEvent connected = Connected { true };
    const RequestEvent sent = RequestSent {};
    const RequestEvent started = AnswerStarted {};
    const RequestEvent notRun = AnswerStarted { 503, true };
    const RequestEvent completed = AnswerCompleted {};
    const RequestEvent broken = AttemptFailed { AttemptFailure::Broken };
    const RequestEvent preempted = AttemptFailed { AttemptFailure::Preempted };
    const RequestEvent leaving = AttemptFailed { AttemptFailure::ServerLeaving };
    const RequestEvent stopped = Stopped { CallerError::DeadlinePassed };
    const std::vector steps { head, admitted, body, granted, connected, sent, started, completed };
    const std::vector events { head, admitted, body, granted, refused, connected, sent, started, notRun, completed,
        broken, preempted, leaving, stopped };
    // What each state expects besides a stop; the states in the order of the steps that lead to them.
    const std::vector<std::vector<RequestEvent>> expected { { head }, { admitted }, { body }, { granted, refused },
        { connected, broken, preempted, leaving }, { sent, broken, preempted, leaving },
        { started, notRun, broken, preempted, leaving }, { completed, broken, preempted, leaving }, {} };
    for (std::size_t state = 0; state < expected.size(); ++state) {
        for (const auto& event : events) {
            Paper paper;
            for (std::size_t i = 0; i < state; ++i) {
                paper.post(steps[i]);
            }
            auto before = paper.machine.state();
            INFO(toString(before) << ", " << nameOf(event));
            REQUIRE(static_cast<std::size_t>(before) == state);
            paper.post(event);
            bool hasEnded = before == RequestState::Finish;
            CHECK(paper.last.empty() == hasEnded);
            auto isEvent = [&](const RequestEvent& it) { return nameOf(it) == nameOf(event); };
            bool isExpected = hasEnded || isEvent(stopped) || std::ranges::any_of(expected[state], isEvent);
            CHECK((paper.find<ReportUnexpectedEvent>() == nullptr) == isExpected);
            if (!isExpected) {
                REQUIRE(paper.find<Refuse>());
                CHECK(paper.find<Refuse>()->code == CallerError::InternalError);
                CHECK(paper.find<Refuse>()->run
                    == (before > RequestState::Connect ? RunStatus::Unknown : RunStatus::NotRun));
                CHECK(paper.machine.state() == RequestState::Finish);
            }
        }
    }
}

// Guards against a part of a stream that is left without an end.
TEST_CASE("a stream that an unexpected event ends is cut, and its grant given back")
{
    Paper paper;
    paper.admit(true, true);
    paper.stream("a");
    paper.post(AttemptFailed { AttemptFailure::Broken });
    REQUIRE(paper.find<AskForGrant>());
    paper.post(AttemptFailed { AttemptFailure::Preempted });
    REQUIRE(paper.find<CutAnswer>());
    CHECK(paper.find<CutAnswer>()->code == CallerError::InternalError);
    CHECK(paper.find<CutAnswer>()->run == RunStatus::Unknown);
    CHECK(paper.find<ReleaseGrant>());
}

} // namespace lagoonspoke
