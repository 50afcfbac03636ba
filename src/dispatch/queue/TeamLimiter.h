#pragma once

#include <cstdint>
#include <optional>

#include <absl/container/flat_hash_map.h>

#include "core/TokenBucket.h"
#include "lagoonspoke/config/ConfigurationSnapshot.h"

namespace lagoonspoke {

// Enforces the teams' limits on requests per second, tokens per second and concurrent requests, waiting ones included.
// Owned by a dispatcher, so that a limit covers the requests of all entries.
class TeamLimiter {
public:
    // Charges one request and its expected tokens; if that would exceed a limit, charges nothing and returns the time
    // after which to retry.
    std::optional<Duration> refuse(const TeamSpec*, std::int64_t expectedTokens, MonotonicTime now);
    // Corrects the tokens charged, by a positive or negative amount.
    void adjustTokens(const TeamId&, std::int64_t difference, MonotonicTime now);
    // A request of the team entered or left the dispatcher.
    void enter(const TeamId&);
    void leave(const TeamId&);

private:
    struct Usage {
        int concurrent = 0;
        std::optional<TokenBucket> requests;
        std::optional<TokenBucket> tokens;
    };

    // Creates or updates the bucket for the configured rate; removes it if there is none.
    static void configureBucket(std::optional<TokenBucket>&, const std::optional<double>& rate, double burstSeconds);

    absl::flat_hash_map<TeamId, Usage> m_usage;
};

} // namespace lagoonspoke
