// Streams that callers may take up, or do: the software version that binds them.
#include "entry/RequestRunner.h"
#include "observe/LogLine.h"

namespace lagoonspoke {

asio::awaitable<std::optional<CallerError>> RequestRunner::bindTakenUpStream()
{
    if (!m_services.streamOrigins) {
        co_return std::nullopt;
    }
    auto origin
        = co_await m_services.streamOrigins->find(m_request.takenUpRequest, m_request.targetName, remaining() / 2);
    m_services.metrics.countStreamTakeUp(toString(origin.source));
    LogLine(LogLevel::Info, "stream_taken_up")
        .add("request", m_id.value())
        .add("caller_id", m_request.callerId)
        .add("began", m_request.takenUpRequest)
        .add("target", m_request.targetName.value())
        .add("software_version", origin.version.value())
        .add("known_from", toString(origin.source));
    if (origin.source == StreamOrigin::Source::Unknown) {
        co_return CallerError::StreamVersionUnknown;
    }
    m_streamVersion = origin.version;
    co_return std::nullopt;
}

asio::awaitable<bool> RequestRunner::noteStreamGrant()
{
    if (!m_services.streamOrigins || !m_request.resumable || m_streamVersion || m_request.callerId.empty()) {
        co_return true;
    }
    co_return co_await m_services.streamOrigins->noteGranted(
        m_request.callerId, m_request.targetName, m_serverVersion, remaining());
}

} // namespace lagoonspoke
