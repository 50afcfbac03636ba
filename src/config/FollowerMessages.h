#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "config/TicketSubmission.h"
#include "lagoonspoke/config/ConfigurationSnapshot.h"

namespace lagoonspoke {

// Events and actions of ConfigurationFollower.

enum class StoreCall { ReadHead, Watch, FetchBlob };

struct HeadRead { // answers ReadHead
    std::optional<StoredValue> head; // nothing when there is none
};
struct WatchEnded { // answers StartWatch
    std::optional<StoredValue> head; // nothing when it did not change
};
struct StoreCallFailed {
    StoreCall call;
    ContentDigest blob = {}; // with FetchBlob
};
// A peer's head, from its own message or, without a sender, from gossip. A hint only: nothing is taken from it
// unchecked.
struct PeerHeadHeard {
    std::optional<InstanceId> from;
    std::uint64_t number = 0; // 0 when the peer has no configuration
    ContentDigest head;
};
struct BlobReceived {
    std::optional<InstanceId> from; // nothing for the store
    ContentDigest digest;
    std::string content;
};
struct BlobNotAvailable {
    std::optional<InstanceId> from; // nothing for the store
    ContentDigest digest;
};
struct FollowerPeer {
    InstanceId id;
    DataCentreId dataCentre;
    // False for members that the probes found dead. They still count as known: after a partition a minority must
    // not take itself for all there is.
    bool reachable = true;
};
// Every known member that is not leaving, without this instance.
struct PeersChanged {
    std::vector<FollowerPeer> peers;
};

using FollowerEvent
    = std::variant<HeadRead, WatchEnded, StoreCallFailed, PeerHeadHeard, BlobReceived, BlobNotAvailable, PeersChanged>;

struct ReadHead { };
struct StartWatch {
    std::uint64_t after; // version
    Duration wait;
};
struct FetchBlob {
    ContentDigest digest;
    std::optional<InstanceId> from; // nothing for the store
};
struct ApplySnapshot {
    SnapshotPtr snapshot;
};
// Tell everyone by gossip, and the peers of the data centre directly.
struct AnnounceHead {
    std::uint64_t number;
    ContentDigest head;
};
// Ask these peers for their head.
struct AskPeers {
    std::vector<InstanceId> peers;
};
// Whether requests that carry a key may be admitted.
struct SetKeyedAdmission {
    bool allowed;
};
// A head that cannot take effect; the configuration in force stays.
struct ReportInvalidHead {
    std::uint64_t number;
    std::vector<Error> errors;
};

using FollowerAction = std::variant<ReadHead, StartWatch, FetchBlob, ApplySnapshot, AnnounceHead, AskPeers,
    SetKeyedAdmission, ReportInvalidHead>;

} // namespace lagoonspoke
