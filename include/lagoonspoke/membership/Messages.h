#pragma once

#include <variant>
#include <vector>

#include "lagoonspoke/membership/Member.h"

namespace lagoonspoke {

// Messages of the failure detector. Suspect and Dead entries carry only id, incarnation and state, to save bytes: a
// receiver only applies them to members that it knows.

struct Gossip {
    std::vector<Member> members;
    std::vector<Rumour> rumours;

    bool operator==(const Gossip&) const = default;
};

struct Probe {
    std::uint64_t sequence = 0;
    Member from;
    std::uint64_t digest = 0; // of the sender's member table
    Gossip gossip;

    bool operator==(const Probe&) const = default;
};

struct ProbeAck {
    std::uint64_t sequence = 0;
    Member from;
    std::uint64_t digest = 0;
    Gossip gossip;

    bool operator==(const ProbeAck&) const = default;
};

// Requests that the receiver probe the target and forward its acknowledgement.
struct IndirectProbe {
    std::uint64_t sequence = 0;
    Member from;
    InstanceId target;
    Gossip gossip;

    bool operator==(const IndirectProbe&) const = default;
};

// Reports that the target of an indirect probe acknowledged.
struct IndirectAck {
    std::uint64_t sequence = 0;
    Member from;
    Gossip gossip;

    bool operator==(const IndirectAck&) const = default;
};

// The sender's full member table, for an instance that joins or whose table differs.
struct TableSync {
    Member from;
    bool wantsReply = false;
    Gossip table;

    bool operator==(const TableSync&) const = default;
};

using MembershipMessage = std::variant<Probe, ProbeAck, IndirectProbe, IndirectAck, TableSync>;

} // namespace lagoonspoke
