#pragma once

#include <array>
#include <set>
#include <vector>

#include "dispatch/placement/PartHomes.h"
#include "dispatch/placement/StreamEngineSizing.h"
#include "dispatch/placement/WaitingRequest.h"
#include "dispatch/servers/ServerPool.h"

namespace lagoonspoke {

// Chooses the model engine for a request whose prompt parts are known. It handles these load patterns:
// - Many requests share long prompt parts: each goes to an engine that has its parts cached. A part is read by another
//   engine only when requests would miss their targets, and first by the part's homes, so that its copies stay few.
// - All slots are in use: a request waits for a slot of an engine that has its parts rather than make any engine that
//   happens to be free read them again, as long as its target allows.
// - Long prompts stall the output of other requests on the same engine: streams with a short gap target run on a few
//   dedicated engines, the stream engines, which get no long prompts.
// - Bursts of prompts: the unread prompt sent to an engine is limited to what it reads in a fraction of a second. The
//   rest waits here, ordered by tier, so that a more urgent request soon finds a free engine.
// A decision looks at the homes of the request's part and at a few of the least loaded engines, whatever their number;
// they are ranked once a scheduler run.
// Does no I/O. Owned by the ServerSelector.
class PromptPlacement {
public:
    PromptPlacement(ServerPool& pool, const DispatchOptions& options)
        : m_pool(pool)
        , m_options(options)
    {
    }

    // Begins a scheduler run, in which the scheduler calls choose() for each waiting request in the order of service.
    // The time is the mean one that a request occupies a slot.
    void beginSchedulerRun(Duration meanSlotTime);
    // The engine for the request, or null when the request should wait for its best engine.
    ServerState* choose(const WaitingRequest&, bool excludedAll, MonotonicTime now);
    // A request was granted to the server in this scheduler run; it takes the given time to read its prompt.
    void recordGrant(const ServerState&, Duration reading, bool gapSensitive, MonotonicTime now);
    static Tokens uncachedTokens(const ServerState&, const PlaceRequest&);
    // Predicted time for the engine to read the tokens beside its present requests when it has no other prompts.
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
    // The best engine, and the best one that can start the request now; each null when there is none.
    struct Choices {
        Choice best;
        Choice free;
    };
    // Engines of one kind, the least loaded first.
    struct Ranking {
        std::vector<std::pair<double, ServerState*>> engines; // by load
        std::size_t firstFree = 0; // those before have no free slot
    };

    bool isCandidate(const ServerState&, const WaitingRequest&, bool excludedAll, MonotonicTime now) const;
    Choice assess(ServerState&, const WaitingRequest&, std::size_t homeRank, MonotonicTime now) const;
    void consider(Choices&, ServerState&, const WaitingRequest&, std::size_t homeRank, MonotonicTime now) const;
    void considerHomes(Choices&, const WaitingRequest&, bool excludedAll, MonotonicTime now);
    void considerLeastLoaded(Choices&, const WaitingRequest&, bool excludedAll, MonotonicTime now);
    bool canStartNow(const ServerState&, const WaitingRequest&, Tokens uncached, MonotonicTime now) const;
    // Predicted time until a slot of the engine becomes free for one more waiting request.
    Duration slotWait(ServerState&, MonotonicTime now) const;
    void promise(const WaitingRequest&, const Choice&);
    // Largest number of prompt tokens whose reading stalls other streams for no longer than the gap target allows.
    Tokens stallFreeTokens(const ServerState&) const;
    bool isStreamEngine(const ServerState& state) const { return m_streamEngines.contains(state.server.id); }
    void adjustStreamEngines(MonotonicTime now);
    // The number of stream engines that the streams' prompts call for.
    int sizeStreamEngines(int streams, MonotonicTime now);
    StreamDemand measureDemand(int streams, MonotonicTime now);
    // Removes stream engines until their slots suit the number of streams.
    void removeStreamEngines(int streams, int slots);
    // Those with the fewest streams go first, as they are free for other work soonest.
    void removeStreamEngines(int wanted);
    std::vector<const ServerState*> rankForRemoval() const;
    static double loadOf(const ServerState&);
    void rankEngines(MonotonicTime now);

    ServerPool& m_pool;
    const DispatchOptions& m_options;
    PartHomes m_homes;
    std::uint64_t m_schedulerRun = 0;
    std::uint64_t m_rankedRun = 0; // the scheduler run that the rankings are for
    Duration m_meanSlotTime {};
    std::array<Ranking, 2> m_rankings; // of other engines, and of stream engines
    bool m_isCrowded = false; // most slots are in use
    std::set<BackendServerId> m_streamEngines;
    MonotonicTime m_streamEnginesAdjustedAt {};
    StreamEngineSizing m_sizing;
    // Seconds of reading granted since the last adjustment, and its averages per second.
    struct ReadingRate {
        double seconds = 0;
        int prompts = 0;
        double perSecond = 0;
        double perPrompt = 0;

        void average(double elapsed);
    };
    ReadingRate m_streamReading;
    ReadingRate m_otherReading;
};

} // namespace lagoonspoke
