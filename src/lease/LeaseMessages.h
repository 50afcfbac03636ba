#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "lagoonspoke/core/FencingToken.h"
#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// Content of a lease object. It has no timestamps, as the processes' clocks are not synchronised.
struct LeaseRecord {
    std::string holder; // unique for each process, not only for each instance
    // Increases with every acquisition. The upper half counts the restorations of the store before the acquisition, so
    // that a restored store does not lead to an epoch that was in force already.
    std::uint64_t epoch = 0;
    std::uint64_t renewal = 0; // increases with every renewal within one epoch
    bool released = false; // the holder released the lease and sends no further orders

    bool operator==(const LeaseRecord&) const = default;
};

struct StoredLease {
    LeaseRecord record;
    std::uint64_t version = 0; // version of the stored object
};

// Whether this instance may acquire the lease, and the delay it adds to the required wait so that preferred candidates
// acquire it first.
struct CandidacyChanged {
    bool candidate = false;
    Duration preferenceDelay {};
};

// Results of ReadLease and WriteLease. Results of any call but the latest are ignored.
struct LeaseRead {
    std::uint64_t call = 0;
    std::optional<StoredLease> found; // absent when the object does not exist
    std::uint64_t restorations = 0; // of the store, when it replied
};

struct LeaseReadFailed {
    std::uint64_t call = 0;
};

struct LeaseWritten {
    std::uint64_t call = 0;
    std::uint64_t version = 0;
};

// The object has another version than the write expected; nothing was written.
struct LeaseWriteConflict {
    std::uint64_t call = 0;
};

// The outcome is unknown: the write may have taken effect, or may still do so.
struct LeaseWriteUnknown {
    std::uint64_t call = 0;
};

struct LeaseReleaseRequested { };

using LeaseEvent = std::variant<CandidacyChanged, LeaseRead, LeaseReadFailed, LeaseWritten, LeaseWriteConflict,
    LeaseWriteUnknown, LeaseReleaseRequested>;

struct ReadLease {
    std::uint64_t call = 0;
};

// Writes only if the object still has this version; without a version, only if the object does not exist.
struct WriteLease {
    std::uint64_t call = 0;
    LeaseRecord record;
    std::optional<std::uint64_t> version;
};

struct LeaseAcquired {
    FencingToken token {};
};

// The owner must send no further orders and must close the connections that carry orders.
struct LeaseLost {
    FencingToken token {};
};

using LeaseAction = std::variant<ReadLease, WriteLease, LeaseAcquired, LeaseLost>;

} // namespace lagoonspoke
