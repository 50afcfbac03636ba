#pragma once

#include <set>

#include "dispatch/ServerPool.h"
#include "dispatch/WaitingRequest.h"

namespace lagoonspoke {

// Chooses the model engine for a request whose prompt parts are known. It answers three load patterns:
// - Many requests share long prompt parts: each goes where its parts were read, and a part gets a second engine only
//   when the first one would make its requests late.
// - Long prompts stall the tokens of the requests beside them: streams with a short gap target run on a few engines,
//   the lanes, which take no long prompts.
// - Bursts of prompts: an engine gets only as much unread prompt as it reads in a moment, so that the rest waits here,
//   in the order of tiers, and a more urgent request finds an engine free soon.
// Pure. Owned by the ServerSelector.
class PromptPlacement {
public:
    PromptPlacement(ServerPool& pool, const DispatchOptions& options)
        : m_pool(pool)
        , m_options(options)
    {
    }

    // Begins a run of the scheduler, which asks for one waiting request after the other in the order of service.
    void startRun();
    // The engine for the request, or null when none may take it now: it waits for the one that suits it.
    ServerState* choose(const WaitingRequest&, bool excludedAll, MonotonicTime now);
    static Tokens uncachedTokens(const ServerState&, const PlaceRequest&);
    // Predicted time until an idle engine of this kind has read the prompt.
    Duration readingTime(const ServerState&, Tokens uncached) const;

private:
    struct Choice {
        bool probe = false;
        int failures = 0;
        Duration cost {};
        Duration time {}; // predicted until the first token
        ServerState* server = nullptr;
        Tokens uncached; // of the prompt, to read on the server
        bool mayStart = false;
    };

    bool isCandidate(const ServerState&, const WaitingRequest&, bool excludedAll, MonotonicTime now) const;
    Choice assess(ServerState&, const WaitingRequest&, MonotonicTime now) const;
    bool mayStart(const ServerState&, const WaitingRequest&, Tokens uncached, MonotonicTime now) const;
    // Prompt tokens that stall the streams beside them for no longer than their gap target allows.
    Tokens quietTokens(const ServerState&) const;
    bool isLane(const ServerState& state) const { return m_lanes.contains(state.server.id); }
    void adjustLanes(MonotonicTime now);

    ServerPool& m_pool;
    const DispatchOptions& m_options;
    std::uint64_t m_run = 0;
    std::set<BackendServerId> m_lanes;
    MonotonicTime m_lanesAdjusted {};
};

} // namespace lagoonspoke
