#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "fleet/DomainLoad.h"
#include "lagoonspoke/core/Error.h"

namespace lagoonspoke {

// Messages of PeerChannel::Fleet: a query for the loads of the receiver's domains, and the answer to it.
struct FleetPacket {
    bool isQuery = false;
    std::vector<DomainLoad> loads;
};

std::string encodeFleetPacket(const FleetPacket&);
// Errors: ProtocolViolation.
Outcome<FleetPacket> decodeFleetPacket(std::string_view);

} // namespace lagoonspoke
