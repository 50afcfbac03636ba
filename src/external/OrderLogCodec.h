#pragma once

#include <string>
#include <string_view>

#include "fleet/OrderLog.h"
#include "lagoonspoke/core/Error.h"

namespace lagoonspoke {

// Value of "fleet/orders/DC": {"last", "open": [{"id", "action", ...}]}.
std::string encodeOrderLog(const OrderLogRecord&);
// Errors: ProtocolViolation.
Outcome<OrderLogRecord> decodeOrderLog(std::string_view);

} // namespace lagoonspoke
