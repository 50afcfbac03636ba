// The end of a request: what is released, reported, billed, logged and sent last.
#include <utility>

#include <fmt/format.h>

#include "entry/RequestRunner.h"
#include "observe/LogLine.h"

namespace lagoonspoke {

namespace {

// A connection that breaks sooner after the request was sent is one that its server had closed already; a server that
// began to work on the request breaks it later.
constexpr Duration shortestRun = std::chrono::milliseconds(10);
constexpr Duration usageBound = std::chrono::milliseconds(50);
// At the design size about 910 streams run in one domain: reports each 100 ms would be 9,100 messages a second there.
constexpr Duration reportInterval = std::chrono::seconds(1);

} // namespace

Progress RequestRunner::makeProgress() const
{
    Progress progress;
    progress.request = m_id;
    progress.grant = m_grant->grant;
    progress.domain = m_domain;
    progress.outputTokens = m_relay.tokens().output();
    progress.limitSeen = m_limitSeen;
    progress.limit = m_limit;
    progress.rejectionLimit = m_rejectionLimit;
    return progress;
}

void RequestRunner::noteReceived(int tokens)
{
    auto now = readMonotonicClock();
    if (!m_firstByteReported) {
        m_firstByteReported = true;
        auto progress = makeProgress();
        progress.firstByteSeen = true;
        progress.timeToFirstByte = now - m_attemptStart;
        m_services.placement.report(progress);
        m_lastReport = now;
    } else if (now - m_lastReport >= reportInterval) {
        m_services.placement.report(makeProgress());
        m_lastReport = now;
    }
    if (!m_firstToken) {
        countStart();
        m_firstToken = now - m_arrival;
        m_series->firstToken.Observe(toSeconds(*m_firstToken));
    } else if (tokens > 0) {
        m_series->tokenGap.Observe(toSeconds(now - m_lastToken));
    }
    m_lastToken = now;
}

void RequestRunner::noteCallerReached()
{
    m_machine.handle(CallerReached {});
    if (m_request.streamed && !m_streamVersion) {
        m_streamVersion = m_serverVersion;
    }
}

void RequestRunner::releaseGrant(FinishOutcome outcome)
{
    auto connection = std::move(m_connection);
    if (!m_grant) {
        return;
    }
    auto progress = makeProgress();
    progress.finished = true;
    progress.outcome = outcome;
    progress.promptTokens = m_relay.tokens().prompt().value_or(m_request.promptTokens);
    m_services.placement.report(progress);
    m_grant.reset();
    // A revocation of the grant has nothing left to stop.
    if (m_interrupt && std::holds_alternative<AttemptFailed>(*m_interrupt)) {
        m_interrupt.reset();
    }
    if (outcome == FinishOutcome::Completed) {
        m_services.runTimes.add(m_request.classSpec->name, readMonotonicClock() - m_attemptStart);
    }
    if (connection && outcome == FinishOutcome::Completed && !m_relay.hasExtraBytes()) {
        m_services.pool.give(std::move(connection));
    }
}

void RequestRunner::logFailedAttempt(const AttemptFailed& failed) const
{
    LogLine(LogLevel::Warning, "attempt_failed")
        .add("request", m_id.value())
        .add("caller_id", m_request.callerId)
        .add("attempt", m_machine.attempts())
        .add("server", m_server.value())
        .add("software_version", m_serverVersion.value())
        .add("through_peer", m_throughPeer)
        .add("cause", toString(failed.cause))
        .add("server_accepts", failed.serverAccepts)
        .add("cut_off", failed.cutOff)
        .add("may_have_run", m_machine.runStatus() != RunStatus::NotRun)
        .add("answer_began", m_machine.callerReached())
        .add("attempt_ms", toMilliseconds(readMonotonicClock() - m_attemptStart))
        .add("granted_ms", sinceArrival(m_grantedAt))
        .add("sent_ms", sinceArrival(m_sent))
        .add("sends", m_sendsOnGrant)
        .add("remaining_ms", toMilliseconds(remaining()));
}

void RequestRunner::logUnexpectedEvent(const ReportUnexpectedEvent& unexpected) const
{
    LogLine(LogLevel::Error, "request_event_unexpected")
        .add("request", m_id.value())
        .add("caller_id", m_request.callerId)
        .add("attempt", m_machine.attempts())
        .add("server", m_server.value())
        .add("state", toString(unexpected.state))
        .add("unexpected", unexpected.event);
}

bool RequestRunner::mayHaveBegun() const
{
    return m_firstByteReported || readMonotonicClock() - m_sent >= shortestRun;
}

void RequestRunner::countStart()
{
    if (!std::exchange(m_startCounted, true) && m_services.settings.countsUsageAtStart && m_services.usageSink
        && m_request.team) {
        asio::co_spawn(m_exchange.socket().get_executor(), m_services.usageSink(makeUsage(false)), asio::detached);
    }
}

UsageRecord RequestRunner::makeUsage(bool completed) const
{
    const auto& tokens = m_relay.tokens();
    UsageRecord record;
    record.request = m_id;
    record.team = team();
    record.target = m_request.targetName;
    record.promptTokens = tokens.prompt().value_or(m_request.promptTokens);
    record.outputTokens = tokens.output();
    record.completed = completed;
    return record;
}

asio::awaitable<void> RequestRunner::recordUsage()
{
    if (!m_services.usageSink || !m_request.team || m_relay.status() >= 400 || m_services.settings.countsUsageAtStart) {
        co_return;
    }
    auto executor = m_exchange.socket().get_executor();
    auto timer = std::make_shared<asio::steady_timer>(executor, usageBound);
    asio::co_spawn(executor, m_services.usageSink(makeUsage(true)), [timer](const std::exception_ptr&) {
        // Also ends a wait that has not begun yet.
        timer->expires_at(asio::steady_timer::time_point::min());
    });
    co_await timer->async_wait(useTuple);
}

RequestRunner::Next RequestRunner::finishAnswer()
{
    m_concluding = true;
    m_deadline.cancel();
    co_await recordUsage();
    if (m_relay.status() >= 500) {
        m_code = "server_error";
    }
    if (isInterrupted()) {
        m_exchange.closeAfter();
        m_code = toString(CallerError::KeyWithdrawn);
        co_return std::nullopt;
    }
    if (auto ec = co_await m_relay.finish()) {
        m_exchange.closeAfter();
        m_code = toString(ec == beast::error::timeout ? CallerError::CallerStalled : CallerError::CallerLeft);
    }
    co_return std::nullopt;
}

RequestRunner::Next RequestRunner::refuse(Refuse action)
{
    m_concluding = true;
    m_code = toString(action.code);
    m_run = action.run;
    m_retryAfter = action.retryAfter;
    if (action.code == CallerError::KeyWithdrawn) {
        m_exchange.closeAfter();
    }
    auto answer = m_services.dialect.formatError({ action.code, action.run, backendId(), action.retryAfter });
    co_await m_exchange.respond(answer.status, answer.contentType, std::move(answer.body), answer.headers);
    co_return std::nullopt;
}

RequestRunner::Next RequestRunner::cut(CutAnswer action)
{
    m_concluding = true;
    m_code = toString(action.code);
    m_run = action.run;
    co_await m_relay.cut(action.code, action.run);
    co_return std::nullopt;
}

double RequestRunner::sinceArrival(MonotonicTime time) const
{
    return time < m_arrival ? -1 : toMilliseconds(time - m_arrival);
}

void RequestRunner::conclude()
{
    m_concluding = true;
    bool completed = m_code == "ok" || m_code == "server_error";
    auto output = m_relay.tokens().output();
    bool countsEnd = !m_services.settings.countsUsageAtStart && m_services.usageSink && m_request.team;
    if (!completed && m_machine.callerReached() && countsEnd) {
        asio::co_spawn(m_exchange.socket().get_executor(), m_services.usageSink(makeUsage(false)), asio::detached);
    }
    auto total = readMonotonicClock() - m_arrival;
    if (m_series) {
        m_series->queue.Observe(toSeconds(m_queueTime));
        m_series->total.Observe(toSeconds(total));
        m_services.metrics.countOutcome(*m_series, m_code);
        if (!completed) {
            m_series->wastedTokens.Increment(static_cast<double>(output.count));
        }
    } else {
        m_services.metrics.countUnknown(m_code);
    }
    // Under load the lines of failed requests are kept before those of others.
    LogLine(completed ? LogLevel::Info : LogLevel::Warning, "request_finished")
        .add("request", m_id.value())
        .add("caller_id", m_request.callerId)
        .add("team", team().value())
        .add("class", m_request.classSpec ? m_request.classSpec->name.value() : std::string())
        .add("target", m_request.targetName.value())
        .add("configuration", m_snapshot ? m_snapshot->number() : 0)
        .add("server", m_server.value())
        .add("software_version", m_serverVersion.value())
        .add("through_peer", m_throughPeer)
        .add("code", m_code)
        .add("run", toString(m_run))
        .add("attempts", m_machine.attempts())
        .add("retry_after_ms", toMilliseconds(m_retryAfter))
        .add("queue_ms", toMilliseconds(m_queueTime))
        .add("granted_ms", sinceArrival(m_grantedAt))
        .add("sent_ms", sinceArrival(m_sent))
        .add("sends", m_sendsOnGrant)
        .add("first_token_ms", m_firstToken ? toMilliseconds(*m_firstToken) : 0)
        .add("total_ms", toMilliseconds(total))
        .add("tokens", output.count);
}

} // namespace lagoonspoke
