#pragma once

#include <cstdint>
#include <string>

#include "lagoonspoke/core/Ids.h"
#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// Ordered: within one incarnation a later state replaces an earlier one.
enum class MemberState {
    Alive,
    Suspect,
    Leaving,
    Dead,
};

struct Member {
    InstanceId id;
    DataCentreId dataCentre;
    RegionId region;
    std::string peerAddress; // IP:port
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;
    // CPU share in hundredths of a core; the default is the same for all instances.
    std::uint16_t capacity = 100;

    bool operator==(const Member&) const = default;
};

// A small value propagated to all instances with the probes; a higher version replaces a lower one of the same key.
struct Rumour {
    std::string key; // such as "config/head", "quarantine/FINGERPRINT", "floor/DOMAIN/INSTANCE"
    std::uint64_t version = 0;
    std::string payload;
    // Approximate time since publication, accumulated over the instances that forwarded it.
    Duration age {};

    bool operator==(const Rumour&) const = default;
};

// An incarnation number holds the start of the process in its upper bits and counts refutations in the lower ones,
// so that a restart can be distinguished from a refutation.
inline constexpr int incarnationRefutationBits = 16;

inline std::uint64_t makeIncarnation(std::uint64_t start)
{
    return start << incarnationRefutationBits;
}

// The part of an incarnation number that stays the same as long as the process runs.
inline std::uint64_t startOf(std::uint64_t incarnation)
{
    return incarnation >> incarnationRefutationBits;
}

} // namespace lagoonspoke
