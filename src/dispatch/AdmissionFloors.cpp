#include "dispatch/AdmissionFloors.h"

#include <algorithm>

namespace lagoonspoke {

namespace {

// A floor that changes with every request would fill the gossip.
constexpr Duration shortestPause = std::chrono::milliseconds(250);

} // namespace

void AdmissionFloors::receive(const InstanceId& from, Tier floor, MonotonicTime now)
{
    m_receivedFloors[from] = { floor, now };
}

Tier AdmissionFloors::highest(MonotonicTime now)
{
    std::erase_if(m_receivedFloors, [&](const auto& it) { return it.second.at + m_lifetime <= now; });
    auto floor = noFloor;
    for (const auto& [from, heard] : m_receivedFloors) {
        floor = std::min(floor, heard.floor);
    }
    return floor;
}

std::optional<Tier> AdmissionFloors::publish(Tier own, MonotonicTime now)
{
    bool changed = own != m_publishedFloor;
    // A lasting floor is repeated three times in its lifetime, so that one lost message does not end it.
    bool due = own != noFloor && now >= m_publishedAt + m_lifetime / 3;
    bool raised = own < m_publishedFloor;
    if (!(changed || due) || (!raised && now < m_publishedAt + shortestPause)) {
        return std::nullopt;
    }
    m_publishedFloor = own;
    m_publishedAt = now;
    return own;
}

std::optional<MonotonicTime> AdmissionFloors::nextPublish() const
{
    return m_publishedFloor == noFloor ? std::nullopt : std::optional(m_publishedAt + m_lifetime / 3);
}

} // namespace lagoonspoke
