#pragma once

#include <cstdint>
#include <string>

#include "lagoonspoke/core/Ids.h"
#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// States of one incarnation replace each other in this order.
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
    // Processor share in hundredths of a core; the same for all where nothing is set.
    std::uint16_t capacity = 100;

    bool operator==(const Member&) const = default;
};

// A small value spread to all instances with the probes; a higher version replaces a lower one of the same key.
struct Rumour {
    std::string key; // such as "config/head", "quarantine/FINGERPRINT", "floor/DOMAIN/INSTANCE"
    std::uint64_t version = 0;
    std::string payload;
    // Time since it was published, as far as known: added up over the instances that it passed through.
    Duration age {};

    bool operator==(const Rumour&) const = default;
};

// An incarnation number holds the start of the process in its upper bits and counts refutations in the lower ones,
// so that a restart can be told from a refutation.
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
