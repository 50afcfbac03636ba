#pragma once

#include <string>
#include <string_view>

#include "lagoonspoke/core/Error.h"
#include "usage/UsageMessages.h"

namespace lagoonspoke {

std::string encodeUsageMessage(const UsageMessage&);
// Errors: ProtocolViolation.
Outcome<UsageMessage> decodeUsageMessage(std::string_view);

} // namespace lagoonspoke
