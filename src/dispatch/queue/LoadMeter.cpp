#include "dispatch/queue/LoadMeter.h"

#include <algorithm>
#include <cmath>

namespace lagoonspoke {

namespace {

// Longer than a burst that ends before new servers could start, shorter than the time between two plans that matter.
constexpr double timeConstantSeconds = 10;
// The averages are 0 until this much time was measured.
constexpr double minMeasuredSeconds = 0.9;

} // namespace

void LoadMeter::decay(MonotonicTime now)
{
    if (!m_started) {
        m_started = true;
        m_updated = now;
    }
    if (now <= m_updated) {
        return;
    }
    auto seconds = toSeconds(now - m_updated);
    auto kept = std::exp(-seconds / timeConstantSeconds);
    // The time since the last update decays as it passes.
    auto weight = timeConstantSeconds * (1 - kept);
    m_seconds = m_seconds * kept + weight;
    m_requestSeconds = m_requestSeconds * kept + m_current * weight;
    m_readingSeconds *= kept;
    m_updated = now;
}

void LoadMeter::recordRequests(std::size_t count, MonotonicTime now)
{
    // An idle domain is not measured before its first request.
    if (count == 0 && !m_started) {
        return;
    }
    decay(now);
    m_current = static_cast<double>(count);
}

void LoadMeter::recordReading(Duration time, MonotonicTime now)
{
    decay(now);
    m_readingSeconds += toSeconds(time);
}

double LoadMeter::requests() const
{
    return m_seconds < minMeasuredSeconds ? 0 : m_requestSeconds / m_seconds;
}

double LoadMeter::readingServers() const
{
    return m_seconds < minMeasuredSeconds ? 0 : m_readingSeconds / m_seconds;
}

} // namespace lagoonspoke
