#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "lagoonspoke/core/FencingToken.h"
#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// Content of a lease object. Times are not part of it, as clocks are not shared.
struct LeaseRecord {
    std::string holder; // unique for each process, not only for each instance
    std::uint64_t epoch = 0; // grows with every change of holder
    std::uint64_t renewal = 0; // grows with every renewal of one epoch
    bool released = false; // the holder gave it up and sends no further orders

    bool operator==(const LeaseRecord&) const = default;
};

struct StoredLease {
    LeaseRecord record;
    std::uint64_t version = 0; // of the stored object
};

// Whether this instance may take the lease, and how much longer than needed it waits before it does so.
struct CandidacyChanged {
    bool candidate = false;
    Duration preferenceDelay {};
};

// Answers to ReadLease and WriteLease; answers to other than the latest call are ignored.
struct LeaseRead {
    std::uint64_t call = 0;
    std::optional<StoredLease> found; // absent when the object does not exist
};

struct LeaseReadFailed {
    std::uint64_t call = 0;
};

struct LeaseWritten {
    std::uint64_t call = 0;
    std::uint64_t version = 0;
};

// The object had another version; nothing was written.
struct LeaseWriteConflict {
    std::uint64_t call = 0;
};

// No answer: the write may have taken effect, or may still do so.
struct LeaseWriteUnknown {
    std::uint64_t call = 0;
};

struct LeaseReleaseRequested { };

using LeaseEvent = std::variant<CandidacyChanged, LeaseRead, LeaseReadFailed, LeaseWritten, LeaseWriteConflict,
    LeaseWriteUnknown, LeaseReleaseRequested>;

struct ReadLease {
    std::uint64_t call = 0;
};

// Writes on condition of the version; creates the object when there is none.
struct WriteLease {
    std::uint64_t call = 0;
    LeaseRecord record;
    std::optional<std::uint64_t> version;
};

struct LeaseAcquired {
    FencingToken token {};
};

// From now on no order may be sent, and connections that carry orders must be closed.
struct LeaseLost {
    FencingToken token {};
};

using LeaseAction = std::variant<ReadLease, WriteLease, LeaseAcquired, LeaseLost>;

} // namespace lagoonspoke
