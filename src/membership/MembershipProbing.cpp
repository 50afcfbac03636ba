// The probing part of Membership: probe rounds, timeouts and message construction.
#include "membership/Membership.h"

#include <algorithm>
#include <cmath>

#include "membership/Rendezvous.h"

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

constexpr Duration joinRetry = 1s;
constexpr std::size_t suspectsPerRound = 3;
constexpr std::size_t gossipOverheadBytes = 72;

bool carriesLocation(MemberState state)
{
    return state == MemberState::Alive || state == MemberState::Leaving;
}

} // namespace

void Membership::startRound(MonotonicTime now)
{
    // Without jitter, instances that started together would keep probing at the same moments.
    std::uniform_real_distribution<double> jitter(0.9, 1.1);
    m_nextRound = now + std::chrono::duration_cast<Duration>(m_options.probeInterval * jitter(m_random));
    ++m_roundCount;
    join(now);
    probeNextMember(now);
    probeSuspects(now);
    probeDeadMember(now);
    if (m_roundCount % 2 == 0) {
        probeOtherRegions(now);
    }
    if (m_roundCount % 64 == 0) {
        m_rumours.dropExpired(now);
        forgetDead(now);
    }
}

std::vector<const Member*> Membership::regionPeers() const
{
    std::vector<const Member*> peers;
    for (const auto& member : members()) {
        if (member.region == self().region && member.id != self().id && member.state != MemberState::Dead) {
            peers.push_back(&member);
        }
    }
    return peers;
}

const Member* Membership::pickRandom(std::vector<const Member*> candidates)
{
    if (candidates.empty()) {
        return nullptr;
    }
    return candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(m_random)];
}

void Membership::probeNextMember(MonotonicTime now)
{
    // Each round of all members has a random order, which bounds the time until a given member is probed.
    for (int pass = 0; pass < 2; ++pass) {
        while (!m_round.empty()) {
            const auto* member = m_table.find(m_round.back());
            m_round.pop_back();
            if (member && member->state != MemberState::Dead) {
                sendProbe(*member, ProbeKind::FailureDetection, now);
                return;
            }
        }
        for (const auto* peer : regionPeers()) {
            m_round.push_back(peer->id);
        }
        std::ranges::shuffle(m_round, m_random);
    }
}

// Probes suspects, which notifies them, so that a false suspicion is refuted before it expires.
void Membership::probeSuspects(MonotonicTime now)
{
    std::vector<InstanceId> suspects;
    for (const auto& [id, suspicion] : m_suspicions) {
        if (suspicion.own) {
            suspects.push_back(id);
        }
    }
    std::ranges::shuffle(suspects, m_random);
    suspects.resize(std::min(suspects.size(), suspectsPerRound));
    for (const auto& id : suspects) {
        sendProbe(*m_table.find(id), ProbeKind::Check, now);
    }
}

void Membership::probeDeadMember(MonotonicTime now)
{
    if (now < m_nextDeadProbe) {
        return;
    }
    m_nextDeadProbe = now + m_options.deadProbeInterval;
    std::vector<const Member*> dead;
    for (const auto& member : members()) {
        if (member.state == MemberState::Dead && member.region == self().region && m_table.isListed(member.id)) {
            dead.push_back(&member);
        }
    }
    if (const auto* member = pickRandom(std::move(dead))) {
        sendProbe(*member, ProbeKind::Check, now);
    }
}

void Membership::probeOtherRegions(MonotonicTime now)
{
    auto links = topMembers("link", self().region, members(), m_options.linksPerRegion);
    if (std::ranges::none_of(links, [&](const Member* it) { return it->id == self().id; })) {
        return;
    }
    std::vector<RegionId> regions;
    for (const auto& member : members()) {
        if (member.region != self().region && !std::ranges::count(regions, member.region)) {
            regions.push_back(member.region);
        }
    }
    for (const auto& region : regions) {
        if (const auto* member = pickRandom(topMembers("link", region, members(), m_options.linksPerRegion))) {
            sendProbe(*member, ProbeKind::Check, now);
        }
    }
}

void Membership::join(MonotonicTime now)
{
    if (m_joined || now < m_nextJoin) {
        return;
    }
    if (const auto* member = pickRandom(regionPeers())) {
        m_nextJoin = now + joinRetry;
        sendSync(*member, true, now);
    }
}

void Membership::checkPending(MonotonicTime now)
{
    std::vector<InstanceId> failed;
    for (auto it = m_pending.begin(); it != m_pending.end();) {
        auto& [sequence, pending] = *it;
        auto age = now - pending.sent;
        if (age >= m_options.indirectProbeTimeout) {
            if (pending.kind == ProbeKind::FailureDetection) {
                failed.push_back(pending.target);
            }
            it = m_pending.erase(it);
            continue;
        }
        if (age >= m_options.directProbeTimeout && !pending.directTimedOut) {
            pending.directTimedOut = true;
            if (pending.kind == ProbeKind::FailureDetection) {
                requestIndirectProbes(sequence, pending, now);
            }
        }
        ++it;
    }
    for (const auto& id : failed) {
        suspect(id, now);
    }
}

void Membership::requestIndirectProbes(std::uint64_t sequence, Pending& pending, MonotonicTime now)
{
    auto peers = regionPeers();
    std::erase_if(peers, [&](const Member* it) { return it->id == pending.target || it->state != MemberState::Alive; });
    std::ranges::shuffle(peers, m_random);
    peers.resize(std::min(peers.size(), static_cast<std::size_t>(m_options.indirectProbes)));
    for (const auto* peer : peers) {
        send(*peer, IndirectProbe { sequence, self(), pending.target, makeGossip(peer->id, now) });
    }
}

void Membership::suspect(const InstanceId& id, MonotonicTime now)
{
    const auto* member = m_table.find(id);
    if (!member || member->state == MemberState::Dead) {
        return;
    }
    if (member->state == MemberState::Alive) {
        auto update = *member;
        update.state = MemberState::Suspect;
        mergeMember(update, now, true);
    }
    // A leaving member keeps its state, which says more than a suspicion; its suspicion timeout runs only here.
    auto [it, created] = m_suspicions.try_emplace(id, Suspicion { now + m_options.suspicion, true });
    if (!created && !it->second.own) {
        it->second = { std::min(it->second.end, now + m_options.suspicion), true };
    }
}

void Membership::checkSuspicions(MonotonicTime now)
{
    std::vector<Member> dead;
    for (const auto& [id, suspicion] : m_suspicions) {
        if (now >= suspicion.end) {
            dead.push_back(*m_table.find(id));
            dead.back().state = MemberState::Dead;
        }
    }
    for (const auto& member : dead) {
        mergeMember(member, now, true);
    }
}

void Membership::forgetDead(MonotonicTime now)
{
    for (auto it = m_deadSince.begin(); it != m_deadSince.end();) {
        if (now - it->second >= m_options.deadRetention && !m_table.isListed(it->first)) {
            m_table.remove(it->first);
            m_queue.remove({ GossipQueue::Kind::Member, it->first.value() });
            m_membersChanged = true;
            it = m_deadSince.erase(it);
        } else {
            ++it;
        }
    }
}

void Membership::sendProbe(const Member& target, ProbeKind kind, MonotonicTime now)
{
    auto sequence = ++m_lastSequence;
    m_pending[sequence] = { target.id, kind, now, false, {}, 0 };
    auto to = target; // a copy: the message must not alias the table
    send(to, Probe { sequence, self(), m_table.digest(), makeGossip(to.id, now) });
}

void Membership::sendSync(const Member& to, bool wantsReply, MonotonicTime now)
{
    Gossip table;
    for (const auto& member : members()) {
        // Candidates that never responded are already in the receiver's instance list.
        if (member.incarnation > 0 && member.id != self().id) {
            table.members.push_back(member);
        }
    }
    table.rumours = m_rumours.all(now);
    send(to, TableSync { self(), wantsReply, std::move(table) });
}

void Membership::send(const Member& to, MembershipMessage message)
{
    m_actions.push_back(SendMembership { to.id, to.peerAddress, std::move(message) });
}

Gossip Membership::makeGossip(const InstanceId& to, MonotonicTime now)
{
    Gossip gossip;
    auto budget = m_options.gossipBytes;
    auto addMember = [&](Member member) {
        if (!carriesLocation(member.state)) {
            member = { member.id, {}, {}, {}, member.incarnation, member.state };
        }
        gossip.members.push_back(std::move(member));
    };
    // The receiver's own entry comes first unless Alive, so that the receiver can refute it.
    if (const auto* receiver = m_table.find(to); receiver && !(receiver->state == MemberState::Alive)) {
        addMember(*receiver);
        budget -= gossipOverheadBytes + to.value().size();
    }
    for (const auto& subject : m_queue.select(budget, sendLimit())) {
        if (subject.kind == GossipQueue::Kind::Rumour) {
            if (auto rumour = m_rumours.find(subject.key, now)) {
                gossip.rumours.push_back(std::move(*rumour));
            }
        } else if (const auto* member = m_table.find(InstanceId(subject.key)); member && member->id != to) {
            addMember(*member);
        }
    }
    return gossip;
}

void Membership::enqueueMember(const InstanceId& id)
{
    const auto* member = m_table.find(id);
    auto bytes = gossipOverheadBytes + id.value().size();
    if (carriesLocation(member->state)) {
        bytes += member->dataCentre.value().size() + member->region.value().size() + member->peerAddress.size();
    }
    m_queue.add({ GossipQueue::Kind::Member, id.value() }, bytes);
}

// An update reaches all instances with high probability after O(log n) sends per instance.
int Membership::sendLimit() const
{
    return 4 * static_cast<int>(std::ceil(std::log10(static_cast<double>(members().size()) + 1)));
}

} // namespace lagoonspoke
