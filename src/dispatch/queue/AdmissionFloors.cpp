#include "dispatch/queue/AdmissionFloors.h"

#include <algorithm>

namespace lagoonspoke {

namespace {

// Limits the gossip while the floor changes with every request. A raised floor is published without delay.
constexpr Duration minPublishInterval = std::chrono::milliseconds(250);

} // namespace

void AdmissionFloors::receive(const InstanceId& from, Tier floor, MonotonicTime now)
{
    m_receivedFloors[from] = { floor, now };
}

Tier AdmissionFloors::highest(MonotonicTime now)
{
    std::erase_if(m_receivedFloors, [&](const auto& it) { return it.second.at + m_lifetime <= now; });
    auto floor = noFloor;
    for (const auto& [from, received] : m_receivedFloors) {
        floor = std::min(floor, received.floor);
    }
    return floor;
}

std::optional<Tier> AdmissionFloors::publish(Tier own, MonotonicTime now)
{
    bool changed = own != m_publishedFloor;
    // An unchanged floor is sent three times in its lifetime, so that it does not expire when one message is lost.
    bool due = own != noFloor && now >= m_publishedAt + m_lifetime / 3;
    bool raised = own < m_publishedFloor;
    if (!(changed || due) || (!raised && now < m_publishedAt + minPublishInterval)) {
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
