#pragma once

#include <cstdint>
#include <vector>

#include "tools/load/Profile.h"

namespace lagoonspoke {

// One request to send, in the order of its arrival.
struct Arrival {
    Duration at {}; // since the start of the run
    std::size_t stream = 0; // index into the profile's streams
    std::size_t team = 0; // index into the stream's teams
    int promptBytes = 0;
    std::int64_t outputTokens = 0;
    int prefix = -1; // which shared prefix the prompt starts with; -1 for none
};

// Draws all arrivals of a run: Poisson per stream, with its burst. The same profile and seed give the same plan.
std::vector<Arrival> planArrivals(const Profile&, std::uint64_t seed);

} // namespace lagoonspoke
