#include "dispatch/servers/ServerPace.h"

#include <algorithm>

namespace lagoonspoke {

namespace {

// Two, as with one the next request waits for the whole answer before it.
constexpr double firstWindow = 2;
constexpr double leastWindow = 1;

} // namespace

std::string_view toString(PaceReason reason)
{
    switch (reason) {
    case PaceReason::Added:
        return "added";
    case PaceReason::Recovered:
        return "recovered";
    case PaceReason::Reopened:
        break;
    }
    return "reopened";
}

void ServerPace::begin(PaceReason reason, MonotonicTime now)
{
    m_window = firstWindow;
    m_reason = reason;
    m_begunAt = m_slowedAt = now;
}

void ServerPace::recordAnswer(bool inTime, MonotonicTime grantedAt, MonotonicTime now)
{
    if (!m_window || grantedAt < m_begunAt) {
        return;
    }
    if (inTime) {
        *m_window += 1;
    } else if (grantedAt >= m_slowedAt) {
        // Requests that were granted together are late together, which counts once.
        *m_window = std::max(leastWindow, *m_window / 2);
        m_slowedAt = now;
    }
}

int ServerPace::usableSlots(int slots) const
{
    return m_window ? std::min(slots, static_cast<int>(*m_window)) : slots;
}

bool ServerPace::endIfReached(int slots)
{
    if (!m_window || *m_window < slots) {
        return false;
    }
    m_window.reset();
    return true;
}

} // namespace lagoonspoke
