#pragma once

#include <optional>

#include "dispatch/routing/PlacementRouter.h"
#include "lagoonspoke/membership/Member.h"

namespace lagoonspoke {

// The rumours by which dispatchers tell all instances of admission floors and quarantined requests. Versions are
// readings of the publisher's monotonic clock.

Rumour makeFloorRumour(const DomainId&, const InstanceId& from, Tier, MonotonicTime now);
Rumour makeQuarantineRumour(const QuarantineReceived&, MonotonicTime now);

// Nothing when the rumour is of another kind, damaged or too old to matter.
std::optional<DomainFloorReceived> readFloorRumour(const Rumour&);
std::optional<QuarantineReceived> readQuarantineRumour(const Rumour&);

} // namespace lagoonspoke
