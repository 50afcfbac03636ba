#include "fleet/LoadPacer.h"

#include <algorithm>

namespace lagoonspoke {

std::optional<FleetOrderBody> LoadPacer::take(MonotonicTime now)
{
    if (m_waiting.empty() || now < m_next) {
        return std::nullopt;
    }
    auto order = std::move(m_waiting.front());
    m_waiting.pop_front();
    m_next = now + m_interval * m_factor;
    return order;
}

void LoadPacer::noteRefused()
{
    m_factor = std::min(m_factor * 2, slowestFactor);
    m_served = 0;
}

void LoadPacer::noteServed()
{
    if (++m_served >= servedForSpeedUp) {
        m_factor = std::max(m_factor / 2, 1);
        m_served = 0;
    }
}

std::optional<MonotonicTime> LoadPacer::nextWakeup() const
{
    return m_waiting.empty() ? std::nullopt : std::optional(m_next);
}

} // namespace lagoonspoke
