#pragma once

#include <optional>

#include "settings/DaemonSettings.h"

namespace lagoonspoke {

// The steps of a shutdown, planned when the signal arrives. The times are absent if nothing kills the process.
struct ShutdownTimes {
    Duration delay {}; // until the listener closes
    std::optional<MonotonicTime> requestsEnd; // when the last requests get their final answers
    std::optional<MonotonicTime> processEnd;

    static ShutdownTimes Make(const DaemonSettings&, MonotonicTime now);
};

} // namespace lagoonspoke
