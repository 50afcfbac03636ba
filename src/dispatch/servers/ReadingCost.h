#pragma once

#include <algorithm>
#include <cstdint>

namespace lagoonspoke {

// Prompt work of a request in prompt tokens, including its fixed cost.
constexpr double promptWork(std::int64_t uncachedTokens)
{
    // Connection, tokenisation and the first decode step.
    constexpr double requestOverheadTokens = 64;
    return static_cast<double>(uncachedTokens) + requestOverheadTokens;
}

// Slow-down of prompt reading by the requests that an engine runs, relative to an idle one.
constexpr double loadFactor(int inFlight, int slots)
{
    return 1.0 + static_cast<double>(inFlight) / std::max(1, slots);
}

} // namespace lagoonspoke
