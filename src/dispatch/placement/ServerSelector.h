#pragma once

#include "dispatch/placement/PromptPlacement.h"
#include "dispatch/placement/WaitingRequest.h"
#include "dispatch/servers/ServerPool.h"

namespace lagoonspoke {

// Chooses the server with the smallest predicted time to the first token. Owned by a dispatcher.
class ServerSelector {
public:
    ServerSelector(ServerPool& pool, const DispatchOptions& options)
        : m_pool(pool)
        , m_options(options)
        , m_promptPlacement(pool, options)
    {
    }

    // Begins a scheduler run. The time is the mean one that a request occupies a slot.
    void beginSchedulerRun(Duration meanSlotTime) { m_promptPlacement.beginSchedulerRun(meanSlotTime); }
    void recordGrant(const ServerState& state, Duration reading, bool gapSensitive, MonotonicTime now)
    {
        m_promptPlacement.recordGrant(state, reading, gapSensitive, now);
    }
    // The server to run the request, or null when no suitable server has a free slot.
    ServerState* choose(const WaitingRequest&, MonotonicTime now);
    // An idle server for a suspect request. Without one, isolates a server so that it becomes idle, and returns null.
    ServerState* chooseIsolated(const WaitingRequest&, MonotonicTime now);
    // Predicted time to the first token on the given server.
    Duration predict(const ServerState&, const WaitingRequest&, MonotonicTime now) const;

    // Predicted time to the first token on the best server if it had no other work.
    Duration predictUnloaded(const WaitingRequest&) const;

    // Prompt tokens not found in the server's prefix cache.
    std::int64_t uncachedTokens(const ServerState&, const PlaceRequest&) const;

private:
    bool isExcluded(const ServerState&, const PlaceRequest&) const;
    bool mayUse(const ServerState&, const WaitingRequest&, MonotonicTime now) const;

    ServerPool& m_pool;
    const DispatchOptions& m_options;
    PromptPlacement m_promptPlacement;
};

} // namespace lagoonspoke
