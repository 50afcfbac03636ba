#pragma once

#include <string>
#include <string_view>

#include "lagoonspoke/core/Error.h"
#include "lease/LeaseMessages.h"

namespace lagoonspoke {

// A lease object's value: {"holder", "epoch", "renewal", "released"}.
std::string encodeLease(const LeaseRecord&);
// Errors: ProtocolViolation.
Outcome<LeaseRecord> decodeLease(std::string_view);

} // namespace lagoonspoke
