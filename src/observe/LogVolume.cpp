#include "observe/LogVolume.h"

namespace lagoonspoke {

LogVolume::LogVolume(Options options)
    : m_options(options)
    , m_bucket(options.linesPerSecond, options.burst)
{
}

bool LogVolume::admit(LogLevel level, MonotonicTime now)
{
    auto reserved = level >= LogLevel::Warning ? 0 : m_options.burst * m_options.reservedShare;
    if (!m_bucket.has(reserved + 1, now)) {
        ++m_dropped;
        return false;
    }
    m_bucket.take(1, now);
    return true;
}

} // namespace lagoonspoke
