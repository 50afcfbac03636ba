#pragma once

#include <set>

#include "dispatch/ServerPool.h"
#include "dispatch/WaitingRequest.h"

namespace lagoonspoke {

// Chooses the model engine for a request whose prompt parts are known. It handles three load patterns:
// - Many requests share long prompt parts: each goes to the engine that has its parts cached, and a part is read by a
//   second engine only when requests would miss their targets on the first one.
// - Long prompts stall the output of other requests on the same engine: streams with a short gap target run on a few
//   dedicated engines, the stream engines, which get no long prompts.
// - Bursts of prompts: the unread prompt sent to an engine is limited to what it reads in a fraction of a second. The
//   rest waits here, ordered by tier, so that a more urgent request soon finds a free engine.
// Does no I/O. Owned by the ServerSelector.
class PromptPlacement {
public:
    PromptPlacement(ServerPool& pool, const DispatchOptions& options)
        : m_pool(pool)
        , m_options(options)
    {
    }

    // Begins a scheduler run, in which the scheduler calls choose() for each waiting request in the order of service.
    void beginSchedulerRun();
    // The engine for the request, or null when the request should wait for its best engine.
    ServerState* choose(const WaitingRequest&, bool excludedAll, MonotonicTime now);
    static Tokens uncachedTokens(const ServerState&, const PlaceRequest&);
    // Predicted time for the engine to read the tokens when it has no other work.
    Duration readingTime(const ServerState&, Tokens uncached) const;

private:
    struct Choice {
        bool probe = false;
        int failures = 0;
        Duration cost {};
        Duration time {}; // predicted time to the first token
        ServerState* server = nullptr;
        Tokens uncached; // prompt tokens that the server would have to read
        bool canStartNow = false;
    };

    bool isCandidate(const ServerState&, const WaitingRequest&, bool excludedAll, MonotonicTime now) const;
    Choice assess(ServerState&, const WaitingRequest&, MonotonicTime now) const;
    bool canStartNow(const ServerState&, const WaitingRequest&, Tokens uncached, MonotonicTime now) const;
    // Largest number of prompt tokens whose reading stalls other streams for no longer than the gap target allows.
    Tokens stallFreeTokens(const ServerState&) const;
    bool isStreamEngine(const ServerState& state) const { return m_streamEngines.contains(state.server.id); }
    void adjustStreamEngines(MonotonicTime now);

    ServerPool& m_pool;
    const DispatchOptions& m_options;
    std::uint64_t m_schedulerRun = 0;
    std::set<BackendServerId> m_streamEngines;
    MonotonicTime m_streamEnginesAdjustedAt {};
};

} // namespace lagoonspoke
