#include "dispatch/servers/RejectionGuard.h"

namespace lagoonspoke {

namespace {

// A server rejects at once; this is the longest way to it and back, and its report to the dispatcher.
constexpr Duration answerTime = std::chrono::milliseconds(50);
constexpr Duration rateInterval = std::chrono::seconds(1);
// The other half is left for what instances send that place requests by themselves.
constexpr double usedShare = 0.5;

void removeUntil(std::deque<MonotonicTime>& times, MonotonicTime end)
{
    while (!times.empty() && times.front() <= end) {
        times.pop_front();
    }
}

} // namespace

bool RejectionGuard::recordAnswer(const std::optional<RequestRate>& rate, MonotonicTime grantedAt, MonotonicTime now)
{
    return m_limit.recordAnswer(rate, grantedAt, now);
}

bool RejectionGuard::recordReport(RequestRate rate, MonotonicTime heardAt)
{
    return m_limit.recordReport(rate, heardAt);
}

void RejectionGuard::recordGrant(MonotonicTime now)
{
    if (rate()) {
        m_grants.push_back(now);
    }
}

void RejectionGuard::recordRejection(MonotonicTime now)
{
    if (rate()) {
        m_rejections.push_back(now);
    }
}

bool RejectionGuard::hasRoom(std::size_t instances, MonotonicTime now)
{
    if (!rate()) {
        m_grants.clear();
        m_rejections.clear();
        return true;
    }
    double most = usedShare * rate()->perSecond / static_cast<double>(std::max<std::size_t>(instances, 1));
    // A share below one rejection a second is one in a longer time.
    auto interval = most >= 1 ? rateInterval : fromSeconds(toSeconds(rateInterval) / std::max(most, 0.1));
    removeUntil(m_grants, now - answerTime);
    removeUntil(m_rejections, now - interval);
    return static_cast<double>(m_grants.size() + m_rejections.size()) < std::max(1.0, most);
}

} // namespace lagoonspoke
