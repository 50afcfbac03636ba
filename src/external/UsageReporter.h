#pragma once

#include <memory>

#include "http/Asio.h"
#include "usage/UsageMessages.h"

namespace lagoonspoke {

// Takes the usage reports of an installation, outside of the fleet. It must outlive its running calls.
class UsageReporter {
public:
    virtual ~UsageReporter() = default;

    // Whether one report carries all teams of a window, instead of one team.
    virtual bool takesWholeWindows() const = 0;
    // Errors: Conflict (the window was reported with other figures, or the token is too low), Unavailable, and
    // TimedOut or ProtocolViolation, after which the report may have been taken; sending it again is harmless.
    virtual asio::awaitable<Outcome<void>> report(UsageReport) const = 0;
};

using UsageReporterPtr = std::shared_ptr<const UsageReporter>;

} // namespace lagoonspoke
