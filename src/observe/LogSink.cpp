#include "observe/LogSink.h"

#include <algorithm>
#include <cerrno>
#include <climits>

#include <fmt/format.h>
#include <poll.h>

namespace lagoonspoke {

namespace {

// While lines are dropped steadily, the report of it must not add much to the volume.
constexpr Duration reportInterval = std::chrono::seconds(1);

LogLevel levelOf(spdlog::level::level_enum level)
{
    switch (level) {
    case spdlog::level::trace:
    case spdlog::level::debug:
        return LogLevel::Debug;
    case spdlog::level::info:
        return LogLevel::Info;
    case spdlog::level::warn:
        return LogLevel::Warning;
    default:
        return LogLevel::Error;
    }
}

} // namespace

LogSink::LogSink(Options options)
    : m_options(options)
    , m_volume(options.volume)
{
}

LogSink::Drops LogSink::drops()
{
    std::lock_guard lock(mutex_);
    return { m_volume.dropped(), m_readerBehind };
}

void LogSink::sink_it_(const spdlog::details::log_msg& message)
{
    if (m_readerGone) {
        ++m_readerBehind;
        return;
    }
    auto now = readMonotonicClock();
    if (m_volume.admit(levelOf(message.level), now)) {
        reportDrops(now);
        append(message);
    }
    flush_();
}

void LogSink::append(const spdlog::details::log_msg& message)
{
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (m_buffer.size() + line.size() > m_options.bufferBytes) {
        ++m_readerBehind;
        return;
    }
    m_buffer.append(line.data(), line.size());
}

void LogSink::reportDrops(MonotonicTime now)
{
    Drops drops { m_volume.dropped(), m_readerBehind };
    if (drops == m_reported || now < m_reportedAt + reportInterval || m_buffer.size() > m_options.bufferBytes / 2) {
        return;
    }
    auto text = fmt::format("event=log_lines_dropped over_volume={} reader_behind={}",
        drops.overVolume - m_reported.overVolume, drops.readerBehind - m_reported.readerBehind);
    append(spdlog::details::log_msg("", spdlog::level::warn, text));
    m_reported = drops;
    m_reportedAt = now;
}

bool LogSink::canWrite() const
{
    pollfd descriptor { m_options.descriptor, POLLOUT, 0 };
    return ::poll(&descriptor, 1, 0) == 1;
}

void LogSink::flush_()
{
    std::size_t written = 0;
    while (written < m_buffer.size() && canWrite()) {
        // A pipe that is ready takes this much without blocking; the descriptor itself may be shared with other
        // processes, so it is not made non-blocking.
        auto size = std::min<std::size_t>(m_buffer.size() - written, PIPE_BUF);
        auto n = ::write(m_options.descriptor, m_buffer.data() + written, size);
        if (n < 0 && errno != EINTR && errno != EAGAIN) {
            // Nowhere is left to say so.
            m_readerGone = true;
            m_readerBehind += static_cast<std::uint64_t>(
                std::count(m_buffer.begin() + static_cast<std::ptrdiff_t>(written), m_buffer.end(), '\n'));
            written = m_buffer.size();
        } else if (n <= 0) {
            break;
        } else {
            written += static_cast<std::size_t>(n);
        }
    }
    m_buffer.erase(0, written);
}

} // namespace lagoonspoke
