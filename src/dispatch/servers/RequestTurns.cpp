#include "dispatch/servers/RequestTurns.h"

#include <algorithm>
#include <cmath>

namespace lagoonspoke {

namespace {

// A turn that is not used within this time is lost. Instances that kept their turns would all use them in the moment in
// which their dispatcher fails. Waiting requests look for a server every 100 ms.
constexpr double turnSeconds = 0.25;

} // namespace

RequestTurns::RequestTurns(std::uint64_t seed)
    : m_phase(static_cast<double>(seed >> 11) / static_cast<double>(1ULL << 53))
{
}

bool RequestTurns::hasTurn(double rate, MonotonicTime now) const
{
    if (rate <= 0) {
        return false;
    }
    auto periods = toSeconds(now.time_since_epoch()) * rate + m_phase;
    auto sinceTurn = (periods - std::floor(periods)) / rate;
    return sinceTurn < turnSeconds && toSeconds(now - m_takenAt) > sinceTurn;
}

} // namespace lagoonspoke
