// What ends a request or an attempt from outside: stops, the deadline, shutdowns and revoked grants.
#include <algorithm>

#include "entry/RequestRunner.h"

namespace lagoonspoke {

namespace {

// After its deadline, a started response that pauses for longer than its class's target has its server checked. The
// target is taken within these bounds.
constexpr Duration shortestLatePause = std::chrono::milliseconds(100);
constexpr Duration longestLatePause = std::chrono::seconds(1);
// Between two checks of a server that is reached but sends nothing.
constexpr Duration lateCheckInterval = std::chrono::seconds(1);

} // namespace

void RequestRunner::interrupt(RequestEvent event)
{
    m_interrupt = std::move(event);
    switch (m_wait) {
    case Wait::Grant:
        m_services.placement.withdraw(m_id);
        break;
    case Wait::Backend:
        m_connection->close();
        break;
    case Wait::Caller:
        if (std::holds_alternative<Stopped>(*m_interrupt)) {
            m_exchange.cancel();
        } else if (m_connection) {
            // The write goes on, so that the caller gets whole events; the backend server is free at once.
            m_connection->close();
        }
        break;
    case Wait::ServerCheck:
    case Wait::Nothing:
        break;
    }
}

void RequestRunner::stop(CallerError reason)
{
    if (m_concluding) {
        // The last bytes of a response must not go out for a withdrawn key, however slowly the caller reads.
        if (reason == CallerError::KeyWithdrawn) {
            m_interrupt = Stopped { reason };
            m_exchange.closeAfter();
            m_exchange.cancel();
        }
        return;
    }
    if (!m_interrupt || !std::holds_alternative<Stopped>(*m_interrupt)) {
        interrupt(Stopped { reason });
    }
}

void RequestRunner::stopLateWait()
{
    if (m_wait == Wait::Grant && !endsBeforeShutdown()) {
        stop(CallerError::ShuttingDown);
    }
}

bool RequestRunner::endsBeforeShutdown() const
{
    // A stream that the caller has a part of is worth continuing even if the end cuts it.
    if (!m_services.requestsEnd || m_machine.callerReached()) {
        return true;
    }
    auto expected = m_services.runTimes.longest(m_request.classSpec->name).value_or(Duration::max());
    return std::min(expected, remaining()) <= *m_services.requestsEnd - readMonotonicClock();
}

void RequestRunner::revoke(const Revoke& revoke)
{
    bool granting = m_machine.state() == RequestState::AwaitGrant;
    bool preempted = revoke.reason == RevokeReason::Preempted;
    if (m_concluding || m_interrupt) {
        return;
    }
    // During a check of the server the attempt has ended, and its result decides how the request goes on.
    bool canMove = preempted ? m_machine.canMove() : m_machine.canMoveUnsent();
    if (!granting && (!canMove || m_wait == Wait::ServerCheck)) {
        if (!preempted) {
            m_machine.handle(GrantEnded {});
        }
        return;
    }
    auto cause = preempted ? AttemptFailure::Preempted : AttemptFailure::ServerLeaving;
    if (granting) {
        // The grant has arrived and the coroutine is about to take it up.
        m_interrupt = AttemptFailed { cause, false };
    } else {
        interrupt(AttemptFailed { cause });
    }
}

RequestEvent RequestRunner::chooseEvent(RequestEvent event)
{
    if (!m_interrupt) {
        return event;
    }
    auto interrupt = std::move(*m_interrupt);
    m_interrupt.reset();
    bool revoked = std::holds_alternative<AttemptFailed>(interrupt);
    if (revoked && (std::holds_alternative<AnswerCompleted>(event) || std::holds_alternative<Stopped>(event))) {
        return event;
    }
    if (std::holds_alternative<Granted>(event)) {
        m_machine.handle(event);
    }
    return interrupt;
}

void RequestRunner::startDeadline()
{
    awaitDeadline(m_request.deadline - (readMonotonicClock() - m_arrival));
}

void RequestRunner::awaitDeadline(Duration left)
{
    m_deadline.expires_after(left);
    m_deadline.async_wait([self = m_self](error_code ec) {
        if (!ec && *self) {
            (*self)->passDeadline();
        }
    });
}

void RequestRunner::passDeadline()
{
    if (!m_machine.callerReached()) {
        stop(CallerError::DeadlinePassed);
        return;
    }
    if (m_concluding) {
        return;
    }
    // A response that has started is bounded by the time between its tokens instead, unless its server is gone.
    auto bound = std::clamp(m_request.classSpec->tokenGapTarget, shortestLatePause, longestLatePause);
    if (m_wait != Wait::Backend) {
        awaitDeadline(bound);
        return;
    }
    if (auto pause = readMonotonicClock() - m_lastToken; pause < bound) {
        awaitDeadline(bound - pause);
        return;
    }
    asio::co_spawn(m_exchange.socket().get_executor(), endIfGone(m_self, *m_grant), asio::detached);
}

asio::awaitable<void> RequestRunner::endIfGone(std::shared_ptr<RequestRunner*> self, Grant grant)
{
    auto* runner = *self;
    if (!runner) {
        co_return;
    }
    auto reach = co_await runner->m_services.connector.check(grant.address, runner->deathCheckBound());
    runner = *self;
    if (!runner || runner->m_concluding) {
        co_return;
    }
    bool isSameAttempt = runner->m_grant && runner->m_grant->grant == grant.grant;
    if (reach == Reach::Nobody && isSameAttempt && runner->m_wait == Wait::Backend) {
        runner->stop(CallerError::DeadlinePassed);
        co_return;
    }
    runner->awaitDeadline(lateCheckInterval);
}

void RequestRunner::watchCaller()
{
    m_watch.emplace(m_exchange.socket(), [self = m_self] {
        if (*self) {
            (*self)->stop(CallerError::CallerLeft);
        }
    });
}

} // namespace lagoonspoke
