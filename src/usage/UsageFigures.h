#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "lagoonspoke/core/Ids.h"

namespace lagoonspoke {

// Number of a usage window: wall-clock time divided by the window's length. It is only a label that all instances
// derive alike. A wrong clock moves figures to a neighbouring window; nothing is counted twice or lost by it.
using WindowNumber = std::int64_t;

struct UsageFigures {
    std::int64_t requests = 0;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;

    bool operator==(const UsageFigures&) const = default;
    UsageFigures& operator+=(const UsageFigures& other)
    {
        requests += other.requests;
        promptTokens += other.promptTokens;
        outputTokens += other.outputTokens;
        return *this;
    }
    UsageFigures& operator-=(const UsageFigures& other)
    {
        requests -= other.requests;
        promptTokens -= other.promptTokens;
        outputTokens -= other.outputTokens;
        return *this;
    }
};

using TeamFigures = std::map<TeamId, UsageFigures>;

// Everything that one process counted in one window, up to its increment with the given number. Of two facts on the
// same writer and window, the one with the higher number contains the other.
struct UsageFact {
    WindowNumber window = 0;
    std::uint64_t sequence = 0;
    bool final = false; // the writer counts nothing more in this window
    TeamFigures teams;

    bool operator==(const UsageFact&) const = default;
};

} // namespace lagoonspoke
