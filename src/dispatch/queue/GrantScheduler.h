#pragma once

#include <absl/container/flat_hash_set.h>

#include "dispatch/queue/DispatchState.h"

namespace lagoonspoke {

// Grants free slots to waiting requests: first to tiers with credit from their guaranteed share, then in strict tier
// order, where each tier leaves its reserve free. Owned by the PolicyDispatcher.
class GrantScheduler {
public:
    explicit GrantScheduler(DispatchState& state)
        : m_state(state)
    {
    }

    void grantFreeSlots(MonotonicTime now);
    // Sends a grant to its entry; called again when a placement request or a resync is repeated.
    void sendGrant(const GrantedRequest&);
    // Ensures that the ids of later grants are larger than this one.
    void noteGrantId(GrantId);

private:
    void grantSuspects(Tier floor, MonotonicTime now);
    // The server for a suspect request, or null when it has to wait.
    ServerState* chooseForSuspect(const WaitingRequest&, bool& waitsForIsolation, MonotonicTime now);
    // Collects the suspect parts of granted requests that are not answered yet. One request at a time shows whether a
    // part crashes its server.
    void findSuspectsOnTrial(MonotonicTime now);
    void addTrial(const PlaceRequest&, MonotonicTime now);
    bool grantGuaranteed(Tier floor, MonotonicTime now);
    bool grantByTier(Tier floor, MonotonicTime now);
    int reservedSlots(Tier, MonotonicTime now);
    bool grantFrom(TierQueue&, bool guaranteed, MonotonicTime now);
    void grant(WaitingPtr, ServerState&, bool guaranteed, MonotonicTime now);

    DispatchState& m_state;
    std::uint64_t m_lastGrantId = 0;
    std::uint64_t m_schedulerRun = 0;
    // Slots of all usable servers in the current run, and how many of them are free.
    int m_totalSlots = 0;
    int m_freeSlots = 0;
    bool m_isolatesServers = false; // servers may be isolated for suspect requests
    // In the current run; includes the parts of suspects that found no server in it.
    absl::flat_hash_set<Fingerprint> m_onTrial;
};

} // namespace lagoonspoke
