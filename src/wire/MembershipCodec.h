#pragma once

#include <string>
#include <string_view>

#include "lagoonspoke/core/Error.h"
#include "lagoonspoke/membership/Messages.h"

namespace lagoonspoke {

std::string encodeMembershipMessage(const MembershipMessage&);
// Errors: ProtocolViolation.
Outcome<MembershipMessage> decodeMembershipMessage(std::string_view);

} // namespace lagoonspoke
