#pragma once

#include "dispatch/PromptPlacement.h"
#include "dispatch/ServerPool.h"
#include "dispatch/WaitingRequest.h"

namespace lagoonspoke {

// Chooses the server with the smallest predicted time to the first token. Owned by a dispatcher.
class ServerSelector {
public:
    ServerSelector(ServerPool& pool, const DispatchOptions& options)
        : m_pool(pool)
        , m_options(options)
        , m_prompts(pool, options)
    {
    }

    // Begins a run of the scheduler.
    void startRun() { m_prompts.startRun(); }
    // The server to run the request, or null when none that suits it has a free slot.
    ServerState* choose(const WaitingRequest&, MonotonicTime now);
    // An empty server for a suspect request; otherwise keeps one free for it and gives null.
    ServerState* chooseAlone(const WaitingRequest&, MonotonicTime now);
    // Predicted time to the first token on the given server.
    Duration predict(const ServerState&, const WaitingRequest&, MonotonicTime now) const;

    // Predicted time on the best server if it had nothing else to do.
    Duration predictIdle(const WaitingRequest&) const;

    // Prompt tokens not found in the server's prefix cache.
    std::int64_t uncachedTokens(const ServerState&, const PlaceRequest&) const;
    // Work of the first token in prompt tokens, with the fixed cost of a request.
    static double promptWork(std::int64_t uncachedTokens);
    // How much longer the first token takes beside the other requests in flight.
    static double loadFactor(int inFlight, int slots);

private:
    bool isExcluded(const ServerState&, const PlaceRequest&) const;
    bool mayUse(const ServerState&, const WaitingRequest&, MonotonicTime now) const;

    ServerPool& m_pool;
    const DispatchOptions& m_options;
    PromptPlacement m_prompts;
};

} // namespace lagoonspoke
