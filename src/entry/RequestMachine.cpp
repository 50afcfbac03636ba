// The transition table has more rows than Boost.MPL's preprocessed vectors hold.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_VECTOR_SIZE 40
#define BOOST_MPL_LIMIT_LIST_SIZE 40
#define FUSION_MAX_VECTOR_SIZE 20

#include "entry/RequestMachine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace lagoonspoke {

namespace {

// A failing domain must not keep one request alive until its deadline.
constexpr int maxAttempts = 8;
// After a server that was full; others may be less so.
constexpr Duration declinedRetry = std::chrono::milliseconds(250);

CallerError errorOf(RefusalCode code)
{
    switch (code) {
    case RefusalCode::TeamLimit:
        return CallerError::TeamLimit;
    case RefusalCode::QueueFull:
        return CallerError::QueueFull;
    case RefusalCode::DeadlineTooShort:
        return CallerError::DeadlineTooShort;
    case RefusalCode::Quarantined:
        return CallerError::Quarantined;
    case RefusalCode::NoServers:
        return CallerError::NoServers;
    case RefusalCode::VersionGone:
        return CallerError::StreamVersionGone;
    case RefusalCode::Overloaded:
    case RefusalCode::NotOwner:
        break;
    }
    return CallerError::Overloaded;
}

CallerError errorOf(AttemptFailure cause)
{
    switch (cause) {
    case AttemptFailure::Unreachable:
        return CallerError::BackendUnreachable;
    case AttemptFailure::TimedOut:
        return CallerError::BackendTimeout;
    case AttemptFailure::Protocol:
        return CallerError::BackendProtocol;
    case AttemptFailure::Preempted:
    case AttemptFailure::ServerLeaving:
        return CallerError::Overloaded;
    case AttemptFailure::Broken:
        break;
    }
    return CallerError::BackendFailed;
}

bool isRevocation(AttemptFailure cause)
{
    return cause == AttemptFailure::Preempted || cause == AttemptFailure::ServerLeaving;
}

bool isServerError(unsigned status)
{
    return status == 500 || (status >= 502 && status <= 504);
}

namespace msm = boost::msm;

struct Definition : msm::front::state_machine_def<Definition> {
    using no_exception_thrown = int;
    using no_message_queue = int;

    template <RequestState S> struct StateOf : msm::front::state<> {
        template <typename Event, typename Machine> void on_entry(const Event&, Machine& machine)
        {
            machine.m_state = S;
        }
    };
    using ReadHead = StateOf<RequestState::ReadHead>;
    using Authenticate = StateOf<RequestState::Authenticate>;
    using ReadBody = StateOf<RequestState::ReadBody>;
    using AwaitGrant = StateOf<RequestState::AwaitGrant>;
    using Connect = StateOf<RequestState::Connect>;
    using Send = StateOf<RequestState::Send>;
    using AwaitFirstByte = StateOf<RequestState::AwaitFirstByte>;
    using Stream = StateOf<RequestState::Stream>;
    using Finish = StateOf<RequestState::Finish>;
    using initial_state = ReadHead;

    // Actions.
    void authenticate(const HeadRead&) { act(DoAuthenticate {}); }
    void readBody(const Authenticated&) { act(DoReadBody {}); }
    void start(const BodyRead& event)
    {
        m_idempotent = event.idempotent;
        m_resumable = event.resumable;
        m_budget = event.budget;
        m_maxSentAttempts = event.maxAttempts;
        m_reusesConnection = event.reusesConnection;
        m_budget->countFresh();
        askForGrant();
    }
    void connect(const Granted& event)
    {
        m_server = event.server;
        m_sentOnGrant = m_mayBeStale = m_grantEnded = false;
        act(OpenConnection { !m_idempotent && !m_reusesConnection });
    }
    void refusePlacement(const PlacementRefused& event) { end(errorOf(event.code), event.retryAfter); }
    void send(const Connected& event)
    {
        // From here on a non-idempotent request counts as sent, even if the first write fails.
        m_wasWritten = m_written;
        m_written = true;
        m_mayBeStale = event.reused;
        act(SendRequest {});
    }
    void awaitAnswer(const RequestSent&)
    {
        m_sentOnGrant = true;
        act(AwaitAnswer {});
    }
    void relay(const AnswerStarted& event)
    {
        m_serverError = event.status >= 500;
        act(RelayAnswer {});
    }
    void noteCaller(const CallerReached&) { m_callerReached = true; }
    void complete(const AnswerCompleted&)
    {
        act(ReleaseGrant { m_serverError ? FinishOutcome::ServerFailed : FinishOutcome::Completed });
        act(FinishAnswer {});
    }
    void retry(const AttemptFailed& event)
    {
        bool leftServer = event.cause == AttemptFailure::ServerLeaving;
        bool sent = m_state == RequestState::Connect ? leftServer && m_sentOnGrant : !unwritten(event);
        bool repeats = sent && event.cause != AttemptFailure::Preempted;
        noteWritten(event);
        leaveServer(event);
        if (repeats) {
            ++m_sentFailures;
            m_budget->take();
        }
        askForGrant();
    }
    void retryDeclined(const AnswerStarted&)
    {
        m_written = m_wasWritten;
        act(ReleaseGrant { FinishOutcome::Declined });
        m_excluded.push_back(m_server);
        m_budget->take();
        askForGrant();
    }
    void endDeclined(const AnswerStarted&)
    {
        m_written = m_wasWritten;
        act(ReleaseGrant { FinishOutcome::Declined });
        end(CallerError::Overloaded, declinedRetry);
    }
    void retryServerError(const AnswerStarted&)
    {
        act(ReleaseGrant { FinishOutcome::ServerFailed });
        m_excluded.push_back(m_server);
        ++m_sentFailures;
        m_budget->take();
        askForGrant();
    }
    void reconnect(const AttemptFailed&)
    {
        // The server may have closed the idle connection, or the request may have stopped it; a failure of the fresh
        // connection counts as the latter.
        m_sentOnGrant = true;
        m_mayBeStale = false;
        act(OpenConnection { true });
    }
    void endGrant(const GrantEnded&) { m_grantEnded = true; }
    void fail(const AttemptFailed& event)
    {
        noteWritten(event);
        leaveServer(event);
        end(isRevocation(event.cause) && m_written ? CallerError::BackendFailed : errorOf(event.cause));
    }
    void stop(const Stopped& event)
    {
        bool left = event.reason == CallerError::CallerLeft || event.reason == CallerError::CallerStalled;
        if (m_state >= RequestState::AwaitGrant) {
            act(ReleaseGrant { left ? FinishOutcome::CallerLeft : FinishOutcome::Aborted });
        }
        if (left) {
            act(DropCaller { event.reason, runStatus() });
        } else {
            end(event.reason, event.retryAfter);
        }
    }

    // Guards; MSM wants them non-const. Those of one state and event exclude each other, so the order of rows does not
    // matter.
    bool canRetry(const AttemptFailed& event)
    {
        if (isStale(event)) {
            return false;
        }
        if (isRevocation(event.cause)) {
            return canMove() && (event.cause == AttemptFailure::Preempted || !m_sentOnGrant || mayRepeat());
        }
        if (m_attempts >= maxAttempts) {
            return false;
        }
        if (m_state == RequestState::Connect || unwritten(event)) {
            return !m_callerReached || m_resumable;
        }
        return canMove() && mayRepeat();
    }
    bool cannotRetry(const AttemptFailed& event) { return !isStale(event) && !canRetry(event); }
    bool isStale(const AttemptFailed& event)
    {
        bool sending = m_state == RequestState::Send || m_state == RequestState::AwaitFirstByte;
        return sending && m_mayBeStale && !m_grantEnded && m_idempotent && event.cause == AttemptFailure::Broken;
    }
    bool isRepeatable(const AnswerStarted& event)
    {
        return !event.notRun && isServerError(event.status) && !m_callerReached && canMove() && mayRepeat();
    }
    bool isFinal(const AnswerStarted& event) { return !event.notRun && !isRepeatable(event); }
    bool isDeclined(const AnswerStarted& event)
    {
        return event.notRun && m_attempts < maxAttempts && (!m_callerReached || m_resumable) && m_budget->hasCredit();
    }
    bool isDeclinedAtLast(const AnswerStarted& event) { return event.notRun && !isDeclined(event); }

    // Helpers.
    bool mayRepeat() const { return m_sentFailures + 1 < m_maxSentAttempts && m_budget->hasCredit(); }
    bool canMove() const
    {
        bool sent = m_state >= RequestState::Send;
        return !sent || (m_idempotent && (!m_callerReached || m_resumable));
    }
    bool canMoveUnsent() const
    {
        return m_state == RequestState::Connect || (m_state == RequestState::Send && canMove() && mayRepeat());
    }
    bool unwritten(const AttemptFailed& event) const
    {
        return m_state == RequestState::Send && m_idempotent && !event.bytesWritten;
    }
    void noteWritten(const AttemptFailed& event)
    {
        if (unwritten(event)) {
            m_written = m_wasWritten;
        }
    }
    void leaveServer(const AttemptFailed& event)
    {
        auto cause = event.cause;
        auto outcome = FinishOutcome::ServerFailed;
        if (isRevocation(cause) || event.cutOff) {
            outcome = FinishOutcome::Aborted;
        } else if (m_sentOnGrant && (cause == AttemptFailure::Broken || cause == AttemptFailure::Unreachable)) {
            // A leaving server closes its connections itself.
            outcome = event.serverAccepts || m_grantEnded ? FinishOutcome::Disconnected : FinishOutcome::ServerDied;
        }
        act(ReleaseGrant { outcome });
        // Another server is not reached any better, and the next connection goes through a peer.
        if (cause != AttemptFailure::Preempted && !event.cutOff) {
            m_excluded.push_back(m_server);
        }
    }
    void askForGrant() { act(AskForGrant { ++m_attempts, m_excluded }); }
    void end(CallerError code, Duration retryAfter = {})
    {
        if (m_callerReached) {
            act(CutAnswer { code, runStatus() });
        } else {
            act(Refuse { code, runStatus(), retryAfter });
        }
    }
    RunStatus runStatus() const { return m_written ? RunStatus::Unknown : RunStatus::NotRun; }
    void act(RequestAction action) { m_actions.push_back(std::move(action)); }

    using D = Definition;
    // MSM looks for this name.
    struct transition_table // NOLINT(readability-identifier-naming)
        : boost::mpl::vector<a_row<ReadHead, HeadRead, Authenticate, &D::authenticate>,
              a_row<Authenticate, Authenticated, ReadBody, &D::readBody>,
              a_row<ReadBody, BodyRead, AwaitGrant, &D::start>, a_row<AwaitGrant, Granted, Connect, &D::connect>,
              a_row<AwaitGrant, PlacementRefused, Finish, &D::refusePlacement>,
              a_row<Connect, Connected, Send, &D::send>,
              row<Connect, AttemptFailed, AwaitGrant, &D::retry, &D::canRetry>,
              row<Connect, AttemptFailed, Finish, &D::fail, &D::cannotRetry>,
              a_row<Send, RequestSent, AwaitFirstByte, &D::awaitAnswer>,
              row<Send, AttemptFailed, AwaitGrant, &D::retry, &D::canRetry>,
              row<Send, AttemptFailed, Connect, &D::reconnect, &D::isStale>,
              row<Send, AttemptFailed, Finish, &D::fail, &D::cannotRetry>,
              row<AwaitFirstByte, AnswerStarted, Stream, &D::relay, &D::isFinal>,
              row<AwaitFirstByte, AnswerStarted, AwaitGrant, &D::retryServerError, &D::isRepeatable>,
              row<AwaitFirstByte, AnswerStarted, AwaitGrant, &D::retryDeclined, &D::isDeclined>,
              row<AwaitFirstByte, AnswerStarted, Finish, &D::endDeclined, &D::isDeclinedAtLast>,
              row<AwaitFirstByte, AttemptFailed, AwaitGrant, &D::retry, &D::canRetry>,
              row<AwaitFirstByte, AttemptFailed, Connect, &D::reconnect, &D::isStale>,
              row<AwaitFirstByte, AttemptFailed, Finish, &D::fail, &D::cannotRetry>,
              a_irow<Send, GrantEnded, &D::endGrant>, a_irow<AwaitFirstByte, GrantEnded, &D::endGrant>,
              a_irow<Stream, GrantEnded, &D::endGrant>, a_irow<Stream, CallerReached, &D::noteCaller>,
              a_row<Stream, AnswerCompleted, Finish, &D::complete>,
              row<Stream, AttemptFailed, AwaitGrant, &D::retry, &D::canRetry>,
              row<Stream, AttemptFailed, Finish, &D::fail, &D::cannotRetry>, a_row<ReadHead, Stopped, Finish, &D::stop>,
              a_row<Authenticate, Stopped, Finish, &D::stop>, a_row<ReadBody, Stopped, Finish, &D::stop>,
              a_row<AwaitGrant, Stopped, Finish, &D::stop>, a_row<Connect, Stopped, Finish, &D::stop>,
              a_row<Send, Stopped, Finish, &D::stop>, a_row<AwaitFirstByte, Stopped, Finish, &D::stop>,
              a_row<Stream, Stopped, Finish, &D::stop>> { };

    // RequestMachine::handle() ends a request that such an event leaves without actions.
    template <typename Machine, typename Event> void no_transition(const Event&, Machine&, int) { }

    RequestState m_state = RequestState::ReadHead;
    RetryBudget* m_budget = nullptr;
    std::vector<RequestAction> m_actions;
    std::vector<BackendServerId> m_excluded;
    BackendServerId m_server;
    int m_attempts = 0;
    int m_sentFailures = 0;
    int m_maxSentAttempts = 3;
    bool m_idempotent = true;
    bool m_resumable = false;
    bool m_reusesConnection = false;
    bool m_callerReached = false;
    bool m_written = false; // some byte may have been written in any attempt
    bool m_wasWritten = false; // the same before the current attempt
    bool m_sentOnGrant = false;
    bool m_mayBeStale = false;
    bool m_grantEnded = false;
    bool m_serverError = false;
};

} // namespace

struct RequestMachine::Impl : msm::back::state_machine<Definition> { };

RequestMachine::RequestMachine()
    : m_impl(std::make_unique<Impl>())
{
    m_impl->start();
}

RequestMachine::~RequestMachine() = default;

std::vector<RequestAction> RequestMachine::handle(const RequestEvent& event)
{
    m_impl->m_actions.clear();
    std::visit([this](const auto& it) { m_impl->process_event(it); }, event);
    // These two only note a fact, while the coroutine waits for something else.
    bool isNote = std::holds_alternative<CallerReached>(event) || std::holds_alternative<GrantEnded>(event);
    if (m_impl->m_actions.empty() && !isNote && m_impl->m_state != RequestState::Finish) {
        m_impl->act(ReportUnexpectedEvent { m_impl->m_state, nameOf(event) });
        m_impl->process_event(Stopped { CallerError::InternalError });
    }
    return std::move(m_impl->m_actions);
}

RequestState RequestMachine::state() const
{
    return m_impl->m_state;
}

bool RequestMachine::canMove() const
{
    return m_impl->m_state >= RequestState::Connect && m_impl->m_state <= RequestState::Stream && m_impl->canMove();
}

bool RequestMachine::canMoveUnsent() const
{
    return m_impl->canMoveUnsent();
}

bool RequestMachine::suggestsDeath(const AttemptFailed& event) const
{
    return event.cause == AttemptFailure::Broken && m_impl->m_sentOnGrant && !m_impl->m_grantEnded
        && !m_impl->isStale(event);
}

RunStatus RequestMachine::runStatus() const
{
    return m_impl->runStatus();
}

bool RequestMachine::callerReached() const
{
    return m_impl->m_callerReached;
}

int RequestMachine::attempts() const
{
    return m_impl->m_attempts;
}

} // namespace lagoonspoke
