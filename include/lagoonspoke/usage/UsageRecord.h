#pragma once

#include "lagoonspoke/core/Ids.h"
#include "lagoonspoke/core/Units.h"

namespace lagoonspoke {

// What one finished attempt at a request used, as billed to its team.
struct UsageRecord {
    RequestId request;
    TeamId team;
    TargetName target;
    Tokens promptTokens;
    Tokens outputTokens; // received by the caller
    bool completed = false; // the caller got the whole response
};

} // namespace lagoonspoke
