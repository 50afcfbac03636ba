#pragma once

#include <string>
#include <string_view>

#include "lagoonspoke/core/Error.h"
#include "lagoonspoke/dispatch/PlacementMessage.h"

namespace lagoonspoke {

std::string encodePlacementPacket(const PlacementPacket&);
// Errors: ProtocolViolation.
Outcome<PlacementPacket> decodePlacementPacket(std::string_view);

} // namespace lagoonspoke
