#include "membership/Membership.h"

#include <algorithm>
#include <tuple>

#include "lagoonspoke/core/Overload.h"
#include "membership/Rendezvous.h"

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

// A suspicion reported by another instance runs longer, so that a refutation that reaches the reporter can propagate.
constexpr int reportedSuspicionFactor = 2;
// Digests that differ for longer than this don't differ because of gossip in flight.
constexpr Duration mismatchTolerance = 5s;
constexpr Duration syncInterval = 10s;
// A leaving member notifies this many others directly.
constexpr std::size_t leaveFanOut = 16;
// Urgent gossip is sent to this many members immediately; regular probes propagate it further.
constexpr std::size_t urgentFanOut = 12;
constexpr std::size_t gossipOverheadBytes = 72; // tables and offsets of one rumour

} // namespace

Membership Membership::Make(Options options)
{
    return Membership(std::move(options));
}

Membership::Membership(Options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_table(m_options.self)
    , m_rumours(m_options.rumours)
{
    enqueueMember(m_options.self.id);
}

std::vector<MembershipAction> Membership::handle(const MembershipEvent& event, MonotonicTime now)
{
    detectSuspension(now);
    std::visit(Overload {
                   [&](const MembershipReceived& received) { receive(received.message, now); },
                   [&](const MemberDiscovered& met) { mergeMember(met.member, now, true); },
                   [&](const CandidatesChanged& changed) {
                       auto ids = m_table.setCandidates(changed.candidates);
                       m_membersChanged |= !ids.empty();
                       std::erase_if(m_suspicions, [&](const auto& it) { return !m_table.find(it.first); });
                       std::erase_if(m_deadSince, [&](const auto& it) { return !m_table.find(it.first); });
                   },
                   [&](const LeaveRequested&) { leave(); },
                   [&](const GossipUrgent&) { pushGossip(now); },
                   [&](const RumourPublished& published) {
                       if (m_rumours.put(published.rumour, now)) {
                           enqueueRumour(published.rumour);
                       }
                   },
               },
        event);
    return takeActions();
}

std::vector<MembershipAction> Membership::advance(MonotonicTime now)
{
    detectSuspension(now);
    checkPending(now);
    checkSuspicions(now);
    if (now >= m_nextRound) {
        startRound(now);
    }
    return takeActions();
}

std::vector<MembershipAction> Membership::takeActions()
{
    if (m_membersChanged) {
        m_membersChanged = false;
        m_actions.emplace_back(std::in_place_type<MembersChanged>);
    }
    return std::exchange(m_actions, {});
}

std::optional<MonotonicTime> Membership::nextWakeup() const
{
    auto next = m_nextRound;
    for (const auto& [sequence, pending] : m_pending) {
        next = std::min(next,
            pending.sent + (pending.directTimedOut ? m_options.indirectProbeTimeout : m_options.directProbeTimeout));
    }
    for (const auto& [id, suspicion] : m_suspicions) {
        next = std::min(next, suspicion.end);
    }
    return next;
}

// After a suspension of this process acknowledgements may still be unread in its socket, so the pending probes are
// discarded and suspicions are extended by the gap.
void Membership::detectSuspension(MonotonicTime now)
{
    auto gap = now - m_lastCall;
    if (m_started && gap > m_options.suspensionThreshold) {
        m_pending.clear();
        for (auto& [id, suspicion] : m_suspicions) {
            suspicion.end += gap;
        }
    }
    m_started = true;
    m_lastCall = now;
}

void Membership::receive(const MembershipMessage& message, MonotonicTime now)
{
    const auto& from = std::visit([](const auto& it) -> const Member& { return it.from; }, message);
    if (from.id == self().id) {
        return;
    }
    mergeMember(from, now, true);
    std::visit(Overload {
                   [&](const Probe& it) { receiveProbe(it, now); },
                   [&](const ProbeAck& it) { receiveAck(it, now); },
                   [&](const IndirectProbe& it) { receiveIndirectProbe(it, now); },
                   [&](const IndirectAck& it) {
                       mergeGossip(it.gossip, now, true);
                       m_pending.erase(it.sequence);
                   },
                   [&](const TableSync& it) { receiveSync(it, now); },
               },
        message);
}

void Membership::receiveProbe(const Probe& probe, MonotonicTime now)
{
    mergeGossip(probe.gossip, now, true);
    send(probe.from, ProbeAck { probe.sequence, self(), m_table.digest(), makeGossip(probe.from.id, now) });
    compareDigest(probe.from, probe.digest, now);
}

void Membership::receiveAck(const ProbeAck& ack, MonotonicTime now)
{
    mergeGossip(ack.gossip, now, true);
    compareDigest(ack.from, ack.digest, now);
    auto it = m_pending.find(ack.sequence);
    if (it == m_pending.end() || it->second.target != ack.from.id) {
        return;
    }
    if (m_table.find(ack.from.id)->state == MemberState::Leaving) {
        m_suspicions.erase(ack.from.id); // refuted without an update, as a leaving member is not marked Suspect
    }
    if (it->second.kind == ProbeKind::Relayed) {
        if (const auto* requester = m_table.find(it->second.requester)) {
            // The sender's entry in the acknowledgement may refute a suspicion, so it is forwarded.
            Gossip gossip { { ack.from }, {} };
            send(*requester, IndirectAck { it->second.requesterSequence, self(), std::move(gossip) });
        }
    }
    m_pending.erase(it);
}

void Membership::receiveIndirectProbe(const IndirectProbe& request, MonotonicTime now)
{
    mergeGossip(request.gossip, now, true);
    if (const auto* target = m_table.find(request.target)) {
        sendProbe(*target, ProbeKind::Relayed, now);
        auto& pending = m_pending[m_lastSequence];
        pending.requester = request.from.id;
        pending.requesterSequence = request.sequence;
    }
}

void Membership::receiveSync(const TableSync& sync, MonotonicTime now)
{
    // The others already know what a joining instance receives, so it isn't propagated.
    mergeGossip(sync.table, now, m_joined);
    m_mismatchSince.reset();
    if (sync.wantsReply) {
        sendSync(sync.from, false, now);
    } else {
        m_joined = true;
    }
}

void Membership::mergeGossip(const Gossip& gossip, MonotonicTime now, bool propagate)
{
    for (const auto& member : gossip.members) {
        mergeMember(member, now, propagate);
    }
    for (const auto& rumour : gossip.rumours) {
        receiveRumour(rumour, now, propagate);
    }
}

void Membership::mergeMember(const Member& update, MonotonicTime now, bool propagate)
{
    if (update.id == self().id) {
        refuteSelf(update);
        return;
    }
    if (!m_table.merge(update)) {
        return;
    }
    m_membersChanged = true;
    const auto& member = *m_table.find(update.id);
    m_suspicions.erase(member.id);
    m_deadSince.erase(member.id);
    if (member.state == MemberState::Suspect && member.region == self().region) {
        m_suspicions[member.id] = { now + m_options.suspicion * reportedSuspicionFactor, false };
    } else if (member.state == MemberState::Dead) {
        m_deadSince[member.id] = now;
    }
    if (propagate) {
        enqueueMember(member.id);
    }
}

void Membership::refuteSelf(const Member& update)
{
    const auto& own = self();
    if (std::tie(update.incarnation, update.state) <= std::tie(own.incarnation, own.state)) {
        return;
    }
    if (startOf(update.incarnation) != startOf(own.incarnation)) {
        // The entry is of an earlier process of this id, whose start time is ahead of this machine's clock.
        m_table.setSelf(makeIncarnation(startOf(update.incarnation) + 1), own.state);
    } else if (update.state == MemberState::Leaving) {
        m_table.setSelf(update.incarnation, MemberState::Leaving); // as set in the instance list
    } else {
        m_table.setSelf(update.incarnation + 1, own.state);
    }
    m_membersChanged = true;
    enqueueMember(self().id);
}

void Membership::compareDigest(const Member& from, std::uint64_t digest, MonotonicTime now)
{
    if (digest == m_table.digest()) {
        m_mismatchSince.reset();
        return;
    }
    if (!m_mismatchSince) {
        m_mismatchSince = now;
    }
    if (now - *m_mismatchSince >= mismatchTolerance && now >= m_nextSync) {
        m_nextSync = now + syncInterval;
        sendSync(from, true, now);
    }
}

void Membership::receiveRumour(const Rumour& rumour, MonotonicTime now, bool propagate)
{
    if (!m_rumours.put(rumour, now)) {
        return;
    }
    if (propagate) {
        enqueueRumour(rumour);
    }
    m_actions.emplace_back(RumourReceived { rumour });
}

void Membership::enqueueRumour(const Rumour& rumour)
{
    auto bytes = gossipOverheadBytes + rumour.key.size() + rumour.payload.size();
    m_queue.add({ GossipQueue::Kind::Rumour, rumour.key }, bytes);
}

void Membership::leave()
{
    if (self().state == MemberState::Leaving) {
        return;
    }
    m_table.setSelf(self().incarnation + 1, MemberState::Leaving);
    m_membersChanged = true;
    enqueueMember(self().id);
    probeRandomPeers(leaveFanOut, m_lastCall);
}

void Membership::pushGossip(MonotonicTime now)
{
    probeRandomPeers(urgentFanOut, now);
}

void Membership::probeRandomPeers(std::size_t count, MonotonicTime now)
{
    auto peers = regionPeers();
    std::ranges::shuffle(peers, m_random);
    peers.resize(std::min(peers.size(), count));
    for (const auto* peer : peers) {
        sendProbe(*peer, ProbeKind::Check, now);
    }
}

} // namespace lagoonspoke
