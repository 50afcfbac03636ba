#include "daemon/ShutdownTimes.h"

#include <algorithm>

namespace lagoonspoke {

namespace {

// Of the grace time, what the hand-over of usage, the release of leases and the end of the process have.
constexpr int partsOfGrace = 8;
constexpr Duration longestReserve = std::chrono::seconds(1);

} // namespace

ShutdownTimes ShutdownTimes::Make(const DaemonSettings& settings, MonotonicTime now)
{
    if (!settings.shutdownGrace) {
        return { settings.shutdownDelay, std::nullopt, std::nullopt };
    }
    auto grace = *settings.shutdownGrace;
    auto reserve = std::min(longestReserve, grace / partsOfGrace);
    // A short grace time also leaves most of itself to the requests that run.
    return { std::min(settings.shutdownDelay, grace / 4), now + grace - reserve, now + grace };
}

} // namespace lagoonspoke
