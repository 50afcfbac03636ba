#include "usage/SteadyWallClock.h"

#include <cstdlib>

namespace lagoonspoke {

Duration SteadyWallClock::read(Duration wall, MonotonicTime now)
{
    auto offset = wall - now.time_since_epoch();
    if (!m_offset) {
        m_offset = offset;
    }
    bool isJump = std::chrono::abs(offset - *m_offset) > m_options.jumpBound;
    if (isJump && !m_jumpedAt) {
        m_jumpedAt = now;
    }
    if (!isJump || now - *m_jumpedAt >= m_options.settleTime) {
        m_jumpedAt.reset();
        m_offset = offset;
    }
    return now.time_since_epoch() + *m_offset;
}

} // namespace lagoonspoke
