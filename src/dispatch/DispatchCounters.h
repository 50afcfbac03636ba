#pragma once

#include <array>
#include <cstdint>
#include <map>

#include "lagoonspoke/dispatch/Messages.h"

namespace lagoonspoke {

// Counts the decisions of one dispatcher since its creation, for metrics and measurements.
struct DispatchCounters {
    static constexpr std::size_t refusalCodes = static_cast<std::size_t>(RefusalCode::VersionGone) + 1;

    std::uint64_t grants = 0;
    std::uint64_t guaranteedGrants = 0; // outside the strict priority order, from a tier's guaranteed share
    std::map<Tier, std::uint64_t> grantsByTier;
    std::map<Tier, std::uint64_t> guaranteedGrantsByTier;
    std::array<std::uint64_t, refusalCodes> refusals {}; // by RefusalCode
    std::uint64_t retriesRefused = 0; // included in the refusals: the retry budget was exhausted
    std::uint64_t preemptions = 0;
    std::uint64_t expiredGrants = 0;
    std::uint64_t retries = 0;
    std::uint64_t quarantined = 0;
};

} // namespace lagoonspoke
