#pragma once

#include <map>
#include <optional>
#include <random>
#include <variant>
#include <vector>

#include "lagoonspoke/membership/Messages.h"
#include "membership/GossipQueue.h"
#include "membership/MemberTable.h"
#include "membership/RumourStore.h"

namespace lagoonspoke {

struct MembershipReceived {
    MembershipMessage message;
};

// Another instance was discovered by other means than a membership message.
struct MemberDiscovered {
    Member member;
};

// The whole instance list of the platform.
struct CandidatesChanged {
    std::vector<Member> candidates;
};

struct LeaveRequested { };

struct RumourPublished {
    Rumour rumour;
};

// Sends queued gossip to a few members immediately, without waiting for the next probe round.
struct GossipUrgent { };

using MembershipEvent = std::variant<MembershipReceived, MemberDiscovered, CandidatesChanged, LeaveRequested,
    RumourPublished, GossipUrgent>;

struct SendMembership {
    InstanceId to;
    std::string address; // IP:port
    MembershipMessage message;
};

struct MembersChanged { };

// A rumour of another instance with a newer version than the one known here.
struct RumourReceived {
    Rumour rumour;
};

using MembershipAction = std::variant<SendMembership, MembersChanged, RumourReceived>;

// Failure detector and gossip protocol (SWIM): probes the other instances and piggybacks updates on the probes.
// Only members of the same region declare a member dead, so that a partition between regions causes no false deaths;
// a few link members of each region probe those of the other regions to exchange gossip. Owned by PeerService.
class Membership {
public:
    struct Options {
        Member self; // with the incarnation of makeIncarnation()
        std::uint64_t seed = 0;
        Duration probeInterval = std::chrono::milliseconds(500);
        Duration directProbeTimeout = std::chrono::milliseconds(200); // then indirect probes are requested
        Duration indirectProbeTimeout = std::chrono::milliseconds(500); // from the direct probe; then suspected
        int indirectProbes = 3;
        Duration suspicion = std::chrono::seconds(3);
        std::size_t linksPerRegion = 3;
        Duration deadProbeInterval = std::chrono::seconds(2); // rediscovers members after a partition
        Duration deadRetention = std::chrono::minutes(5); // for dead members that are no longer listed
        // A longer gap between calls means that this process was suspended.
        Duration suspensionThreshold = std::chrono::seconds(1);
        std::size_t gossipBytes = 850; // per message, so that it fits a datagram of 1,200 bytes
        RumourStore::Options rumours;
    };

    static Membership Make(Options);

    std::vector<MembershipAction> handle(const MembershipEvent&, MonotonicTime now);
    std::vector<MembershipAction> advance(MonotonicTime now);
    std::optional<MonotonicTime> nextWakeup() const;

    const Member& self() const { return m_table.self(); }
    // Sorted by id; includes this instance.
    const std::vector<Member>& members() const { return m_table.members(); }

private:
    enum class ProbeKind {
        FailureDetection, // without an acknowledgement the member becomes suspect
        Check, // a failure has no consequence
        Relayed, // on behalf of another instance
    };
    struct Pending {
        InstanceId target;
        ProbeKind kind = ProbeKind::Check;
        MonotonicTime sent;
        bool directTimedOut = false;
        InstanceId requester; // of a relayed probe
        std::uint64_t requesterSequence = 0;
    };
    struct Suspicion {
        MonotonicTime end;
        bool own = false; // this instance's own probe failed; otherwise only that of another
    };

    explicit Membership(Options);

    std::vector<MembershipAction> takeActions();
    void receive(const MembershipMessage&, MonotonicTime now);
    void receiveProbe(const Probe&, MonotonicTime now);
    void receiveAck(const ProbeAck&, MonotonicTime now);
    void receiveIndirectProbe(const IndirectProbe&, MonotonicTime now);
    void receiveSync(const TableSync&, MonotonicTime now);
    void mergeGossip(const Gossip&, MonotonicTime now, bool propagate);
    void mergeMember(const Member&, MonotonicTime now, bool propagate);
    void refuteSelf(const Member&);
    void compareDigest(const Member& from, std::uint64_t digest, MonotonicTime now);
    void receiveRumour(const Rumour&, MonotonicTime now, bool propagate);
    void enqueueRumour(const Rumour&);
    void leave();
    void pushGossip(MonotonicTime now);
    // Sends Check probes to random members of the region, to carry gossip.
    void probeRandomPeers(std::size_t count, MonotonicTime now);

    void detectSuspension(MonotonicTime now);
    void startRound(MonotonicTime now);
    void probeNextMember(MonotonicTime now);
    void probeSuspects(MonotonicTime now);
    void probeDeadMember(MonotonicTime now);
    void probeOtherRegions(MonotonicTime now);
    void join(MonotonicTime now);
    void checkPending(MonotonicTime now);
    void checkSuspicions(MonotonicTime now);
    void forgetDead(MonotonicTime now);
    void suspect(const InstanceId&, MonotonicTime now);
    void requestIndirectProbes(std::uint64_t sequence, Pending&, MonotonicTime now);

    void sendProbe(const Member& target, ProbeKind, MonotonicTime now);
    void sendSync(const Member& to, bool wantsReply, MonotonicTime now);
    void send(const Member& to, MembershipMessage);
    Gossip makeGossip(const InstanceId& to, MonotonicTime now);
    void enqueueMember(const InstanceId&);
    int sendLimit() const;
    std::vector<const Member*> regionPeers() const;
    const Member* pickRandom(std::vector<const Member*>);

    Options m_options;
    std::mt19937_64 m_random;
    MemberTable m_table;
    GossipQueue m_queue;
    RumourStore m_rumours;
    std::vector<MembershipAction> m_actions;
    std::map<std::uint64_t, Pending> m_pending; // by sequence
    std::map<InstanceId, Suspicion> m_suspicions;
    std::map<InstanceId, MonotonicTime> m_deadSince;
    std::vector<InstanceId> m_round; // members not yet probed in this round
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_roundCount = 0;
    MonotonicTime m_nextRound;
    MonotonicTime m_lastCall; // of handle() or advance()
    MonotonicTime m_nextDeadProbe;
    MonotonicTime m_nextJoin;
    std::optional<MonotonicTime> m_mismatchSince;
    MonotonicTime m_nextSync;
    bool m_started = false;
    bool m_joined = false;
    bool m_membersChanged = false;
};

} // namespace lagoonspoke
