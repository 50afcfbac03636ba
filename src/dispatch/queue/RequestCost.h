#pragma once

#include <algorithm>
#include <cstdint>

#include "lagoonspoke/core/Units.h"

namespace lagoonspoke {

// What a request is charged in the accounts of its team and its tier, in prompt and output tokens. A request to a plain
// service has none; it costs one token, as one that cost nothing would be outside every share.
inline std::int64_t requestCost(Tokens prompt, std::int64_t outputTokens)
{
    return std::max<std::int64_t>(1, prompt.count + outputTokens);
}

} // namespace lagoonspoke
