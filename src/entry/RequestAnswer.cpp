// The answer of a backend server to a request: which one it is, what its head says, and its relay to the caller.
#include <fmt/format.h>

#include "entry/RequestRunner.h"
#include "observe/LogLine.h"

namespace lagoonspoke {

bool RequestRunner::isExpectedAnswer(const BackendAnswer& answer) const
{
    if (!answer.usable || answer.requestId != backendId() || (answer.seemsNotRun && !m_request.idempotent)) {
        return false;
    }
    // Once a stream has started, nothing but its continuation fits.
    const auto& head = m_connection->head();
    return !m_machine.callerReached()
        || (head.result() == http::status::ok && head[http::field::content_type].starts_with("text/event-stream"));
}

void RequestRunner::noteLimit(const BackendAnswer& answer)
{
    if (answer.hasInvalidLimit) {
        LogLine(LogLevel::Warning, "request_limit_invalid")
            .add("request", m_id.value())
            .add("server", m_server.value())
            .add("used", answer.limit ? fmt::format("{}", answer.limit->perSecond) : "none")
            .add("rejections_used",
                answer.rejectionLimit ? fmt::format("{}", answer.rejectionLimit->perSecond) : "none");
    }
    // A refusal without a limit does not show that the limit has ended, nor does an unreadable one.
    bool hasLimit = answer.limit || answer.rejectionLimit;
    m_limitSeen = hasLimit || (answer.execution == BackendAnswer::Execution::Ran && !answer.hasInvalidLimit);
    m_limit = answer.limit;
    m_rejectionLimit = answer.rejectionLimit;
    if (hasLimit) {
        m_services.placement.report(makeProgress());
    }
}

void RequestRunner::noteSignal(const BackendAnswer& answer)
{
    if (!answer.signal && !answer.hasInvalidPause) {
        return;
    }
    auto signal = answer.signal.value_or(ServerSignal());
    LogLine(answer.hasInvalidPause ? LogLevel::Warning : LogLevel::Info, "server_signal")
        .add("request", m_id.value())
        .add("server", m_server.value())
        .add("leaves", signal.leaves)
        .add("pause_ms", toMilliseconds(signal.pause))
        .add("pause_invalid", answer.hasInvalidPause);
    auto progress = makeProgress();
    progress.signal = answer.signal;
    m_services.placement.report(progress);
}

RequestRunner::Next RequestRunner::awaitAnswer()
{
    // Bounds the late answers to earlier requests that are skipped.
    constexpr int mostSkipped = 4;
    for (int i = 0; i <= mostSkipped; ++i) {
        m_wait = Wait::Backend;
        auto ec = co_await m_connection->readHead(m_exchange.isHead(), m_services.settings.firstByteTimeout);
        m_wait = Wait::Nothing;
        if (ec) {
            auto cause = failureOf(ec);
            if (cause == AttemptFailure::Broken && mayHaveBegun()) {
                countStart();
            }
            co_return AttemptFailed { cause };
        }
        auto answer = m_services.dialect.readAnswer(m_connection->head());
        if (!answer.requestId.empty() && answer.requestId != backendId() && m_connection->reused()) {
            LogLine(LogLevel::Info, "late_answer_skipped")
                .add("request", m_id.value())
                .add("answers", answer.requestId);
            m_wait = Wait::Backend;
            bool skipped = co_await m_connection->skipAnswer(m_services.settings.tokenGapTimeout);
            m_wait = Wait::Nothing;
            if (!skipped) {
                co_return AttemptFailed { AttemptFailure::Protocol };
            }
            continue;
        }
        if (answer.execution != BackendAnswer::Execution::OtherServer && answer.requestId == backendId()) {
            noteLimit(answer);
            noteSignal(answer);
        }
        auto status = m_connection->head().result_int();
        // A refusal of another request says nothing of this one, which may run.
        if (answer.execution != BackendAnswer::Execution::Ran && answer.requestId == backendId()) {
            co_return AnswerStarted { status, true };
        }
        if (!isExpectedAnswer(answer)) {
            co_return AttemptFailed { AttemptFailure::Protocol };
        }
        if (status >= 400) {
            // An error may have no body that shows the beginning of the run.
            countStart();
        }
        m_relay.setHeaders(std::move(answer.headers));
        co_return AnswerStarted { status };
    }
    co_return AttemptFailed { AttemptFailure::Protocol };
}

void RequestRunner::noteStreamFault(StreamFault fault, std::string_view bytes)
{
    m_services.metrics.countStreamFault(toString(fault));
    // The bytes themselves may belong to a team.
    LogLine(LogLevel::Warning, "stream_fault")
        .add("request", m_id.value())
        .add("caller_id", m_request.callerId)
        .add("attempt", m_machine.attempts())
        .add("server", m_server.value())
        .add("fault", toString(fault))
        .add("after_id", m_relay.lastEventId())
        .add("framing", toString(m_connection->framing()))
        .add("connection_reused", m_connection->reused())
        .add("bytes", bytes.size())
        .add("response_head", bytes.starts_with("HTTP/1."));
}

RequestRunner::Next RequestRunner::relayAnswer()
{
    auto event = co_await m_relay.relay(*m_connection, m_request);
    if (!std::holds_alternative<AnswerCompleted>(event) || !m_relay.endedWithConnection(*m_connection)) {
        co_return event;
    }
    bool isWhole = co_await confirmEnd();
    if (!isWhole) {
        co_return AttemptFailed { AttemptFailure::Broken };
    }
    co_return event;
}

bool RequestRunner::hasAllTokens() const
{
    if (m_request.kind != RouteKind::EventStream || m_request.outputLimit <= Tokens {}) {
        return false;
    }
    const auto& deployments = m_snapshot->configuration().deployments;
    auto it = deployments.find(m_request.targetName);
    return it != deployments.end()
        && m_relay.tokens().output().count * it->second.tokensPerEvent >= m_request.outputLimit.count;
}

asio::awaitable<bool> RequestRunner::confirmEnd()
{
    if (hasAllTokens()) {
        co_return true;
    }
    m_wait = Wait::ServerCheck;
    bool isAlive = co_await m_services.connector.confirmAlive(m_grant->address, deathCheckBound());
    m_wait = Wait::Nothing;
    if (isAlive) {
        co_return true;
    }
    LogLine(LogLevel::Warning, "answer_end_unconfirmed")
        .add("request", m_id.value())
        .add("caller_id", m_request.callerId)
        .add("server", m_server.value())
        .add("tokens", m_relay.tokens().output().count)
        .add("token_limit", m_request.outputLimit.count)
        .add("answer_began", m_machine.callerReached());
    co_return false;
}

} // namespace lagoonspoke
