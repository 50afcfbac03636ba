#include "dispatch/servers/ServerHealth.h"

#include <algorithm>

namespace lagoonspoke {

namespace {

constexpr int failuresToEject = 3;
// An engine needs a few seconds to restart. The delay before a probe doubles with each consecutive ejection, up to
// about a minute.
constexpr Duration initialProbeDelay = std::chrono::seconds(2);
constexpr int maxDelayDoublings = 5;

} // namespace

bool ServerHealth::recordFailure()
{
    return ++m_failures >= failuresToEject;
}

void ServerHealth::recordSuccess()
{
    reinstate();
    m_failures = 0;
    m_ejections = 0;
}

void ServerHealth::eject(MonotonicTime now)
{
    m_ejected = true;
    m_probing = false;
    m_probeAt = now + initialProbeDelay * (1 << std::min(m_ejections, maxDelayDoublings));
    ++m_ejections;
}

void ServerHealth::reinstate()
{
    m_ejected = false;
    m_probing = false;
}

} // namespace lagoonspoke
