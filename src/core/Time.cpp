#include "lagoonspoke/core/Time.h"

#include <ctime>

namespace lagoonspoke {

MonotonicTime readMonotonicClock()
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return MonotonicTime(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace lagoonspoke
