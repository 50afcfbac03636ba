#pragma once

#include <map>
#include <optional>
#include <random>
#include <vector>

#include "config/BlobSources.h"
#include "config/FollowerMessages.h"
#include "config/FreshnessTracker.h"

namespace lagoonspoke {

// Keeps one instance at the accepted configuration. It applies only heads with a higher number, only as a whole, after
// checking every digest and reference, and never goes back.
//
// Two instances of each data centre, chosen by rendezvous hashing, watch the head; the others read it now and then and
// otherwise learn of it from peers. Blobs come from peers or the store (BlobSources). Heads are fetched from peers like
// blobs, by their digest.
//
// Pure: owned by ConfigurationService, used on the control thread.
class ConfigurationFollower {
public:
    struct Options {
        InstanceId instance;
        DataCentreId dataCentre;
        std::uint64_t seed = 0; // of the jitter
    };

    // A watch is also the watcher's sign of life from the store, so it ends within the freshness bound.
    static constexpr Duration watchWait = std::chrono::seconds(4);
    static constexpr std::size_t watchersPerDataCentre = 2;
    static constexpr std::size_t largeInstallation = 100;
    static constexpr Duration readPeriod = std::chrono::seconds(5);
    // 409 instances reading every 5 s would use a quarter of the reads that the store gives.
    static constexpr Duration readPeriodLarge = std::chrono::seconds(30);
    // Longest time between the store's answer and its handling that is not taken for a pause of this process.
    static constexpr Duration answerBound = std::chrono::seconds(1);
    static constexpr Duration retryDelay = std::chrono::seconds(1);
    static constexpr Duration peerBound = std::chrono::milliseconds(500);
    static constexpr int maxStoreFetches = 8;

    static ConfigurationFollower Make(Options);

    std::vector<FollowerAction> handle(const FollowerEvent&, MonotonicTime now);
    std::vector<FollowerAction> advance(MonotonicTime now);
    // Due at once after Make().
    std::optional<MonotonicTime> nextWakeup() const;

    // Content that a peer may ask for: the head in force and its shards, or null.
    const std::string* findBlob(const ContentDigest&) const;
    std::uint64_t number() const { return m_number; }
    // Of the head in force; empty without one.
    const ContentDigest& headDigest() const { return m_headDigest; }
    bool isWatcher() const { return m_isWatcher; }

private:
    using Actions = std::vector<FollowerAction>;

    // A head that is being put together.
    struct Candidate {
        ConfigurationHead head;
        ContentDigest digest;
    };
    struct Fetch {
        std::uint64_t number = 0; // of the head that it belongs to
        bool isHead = false;
        BlobSources::Attempts tried;
        std::optional<BlobSources::Source> current;
        std::optional<MonotonicTime> deadline; // of the peer's answer, or of the next try
    };

    explicit ConfigurationFollower(Options);

    void handleStoreHead(const std::optional<StoredValue>&, Actions&);
    void startRead(Actions&, MonotonicTime);
    void handleFailure(const StoreCallFailed&, MonotonicTime);
    void handlePeerHead(const PeerHeadHeard&, MonotonicTime);
    void handleBlob(const BlobReceived&, Actions&);
    void handleMissingBlob(const BlobNotAvailable&);
    void handlePeers(const PeersChanged&);

    bool rankAsWatcher() const;
    void considerHead(const std::string& text, Actions&);
    void startCandidate(Candidate);
    void tryToApply(Actions&);
    void keepOnly(const ConfigurationHead&, const ContentDigest&);
    void continueFetches(MonotonicTime, Actions&);
    void startFetch(const ContentDigest&, Fetch&, MonotonicTime, Actions&);
    void pollStore(MonotonicTime, Actions&);
    void updateAdmission(MonotonicTime, Actions&);
    // Everything that follows from any event: due polls, next fetches, admission.
    Actions finish(MonotonicTime, Actions);
    Duration jittered(Duration);
    Duration currentReadPeriod() const;

    Options m_options;
    std::mt19937_64 m_random;
    FreshnessTracker m_freshness;
    BlobSources m_sources;
    std::vector<FollowerPeer> m_peers;
    bool m_isWatcher = true;

    std::uint64_t m_number = 0; // in force
    ContentDigest m_headDigest;
    ConfigurationHead m_head;
    SnapshotPtr m_snapshot;
    ContentDigest m_rejected; // digest of a head that cannot take effect
    std::optional<Candidate> m_candidate;
    std::map<ContentDigest, std::string> m_blobs; // of the head in force and the candidate, heads included
    std::map<ContentDigest, Fetch> m_fetches;

    std::uint64_t m_headVersion = 0; // in the store
    bool m_readInFlight = false;
    bool m_watchInFlight = false;
    MonotonicTime m_readSent {};
    MonotonicTime m_watchSent {};
    MonotonicTime m_nextRead {};
    MonotonicTime m_nextWatch {};
    MonotonicTime m_nextRound {};
    bool m_admission = false;
    std::optional<MonotonicTime> m_admissionExpiry;
};

} // namespace lagoonspoke
