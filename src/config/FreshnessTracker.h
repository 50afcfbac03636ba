#pragma once

#include <optional>
#include <set>
#include <vector>

#include "config/FollowerMessages.h"
#include "lagoonspoke/core/Ids.h"
#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// Judges whether an instance can still know of a withdrawn key: it has heard from the object store, or from a
// majority of its known peers, within the last 5 s. The peers are asked in rounds. Above 16 known peers ten of them
// stand for all, in equal numbers from every data centre: the instances of a cut-off data centre hold no majority of
// them, and asking 409 peers every 2 s would cost more than the 12 KB/s that an instance may use. The ten stay the
// same, as each one costs a link.
// Owned by ConfigurationFollower.
class FreshnessTracker {
public:
    static constexpr Duration bound = std::chrono::seconds(5);
    static constexpr std::size_t mostAsked = 16;
    static constexpr std::size_t sampleSize = 10;
    static constexpr Duration roundPeriod = std::chrono::seconds(2);

    void setPeers(const InstanceId& own, const std::vector<FollowerPeer>&);
    // Starts a round and gives the peers to ask.
    std::vector<InstanceId> startRound(MonotonicTime);
    // An answer of the store to a call that was sent at the given time. Longest is what the call takes at most: an
    // answer that was handled later waited in a paused process and is older than it looks.
    void noteStore(MonotonicTime sent, Duration longest, MonotonicTime now);
    void notePeer(const InstanceId&, MonotonicTime now);

    bool isFresh(MonotonicTime now) const { return m_lastEvidence && now - *m_lastEvidence <= bound; }
    // When isFresh() becomes false without further evidence; nothing when it is false already.
    std::optional<MonotonicTime> expiry(MonotonicTime now) const;

private:
    void noteEvidence(MonotonicTime);

    std::set<InstanceId> m_asked; // the known peers, or those that stand for them
    std::set<InstanceId> m_heard;
    MonotonicTime m_roundStart {};
    std::optional<MonotonicTime> m_firstHeard; // of the round
    std::optional<MonotonicTime> m_lastEvidence;
};

} // namespace lagoonspoke
