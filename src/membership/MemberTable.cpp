#include "membership/MemberTable.h"

#include <algorithm>
#include <tuple>

#include "lagoonspoke/core/Digest.h"

namespace lagoonspoke {

namespace {

std::uint64_t digestOf(const Member& member)
{
    if (member.incarnation == 0 || member.state == MemberState::Dead) {
        return 0;
    }
    auto leaving = member.state == MemberState::Leaving ? 1 : 0;
    return stableHash(member.id.value(), member.incarnation * 2 + static_cast<std::uint64_t>(leaving));
}

} // namespace

MemberTable::MemberTable(Member self)
    : m_self(self.id)
    , m_digest(digestOf(self))
{
    m_members.push_back(std::move(self));
}

std::vector<Member>::iterator MemberTable::lowerBound(const InstanceId& id)
{
    return std::ranges::lower_bound(m_members, id, {}, &Member::id);
}

const Member* MemberTable::find(const InstanceId& id) const
{
    auto it = std::ranges::lower_bound(m_members, id, {}, &Member::id);
    return it != m_members.end() && it->id == id ? &*it : nullptr;
}

void MemberTable::replace(std::vector<Member>::iterator it, Member member)
{
    m_digest ^= digestOf(*it) ^ digestOf(member);
    *it = std::move(member);
}

void MemberTable::insert(std::vector<Member>::iterator it, Member member)
{
    m_digest ^= digestOf(member);
    m_members.insert(it, std::move(member));
}

bool MemberTable::merge(const Member& update)
{
    auto it = lowerBound(update.id);
    if (it == m_members.end() || it->id != update.id) {
        // A tombstone of an unknown instance would only use memory.
        if (update.peerAddress.empty() || update.state == MemberState::Dead) {
            return false;
        }
        insert(it, update);
        return true;
    }
    if (std::tie(update.incarnation, update.state) <= std::tie(it->incarnation, it->state)) {
        return false;
    }
    auto member = update;
    if (member.peerAddress.empty()) {
        member.dataCentre = it->dataCentre;
        member.region = it->region;
        member.peerAddress = it->peerAddress;
        member.capacity = it->capacity;
    }
    replace(it, std::move(member));
    return true;
}

void MemberTable::setSelf(std::uint64_t incarnation, MemberState state)
{
    auto it = lowerBound(m_self);
    auto member = *it;
    member.incarnation = incarnation;
    member.state = state;
    replace(it, std::move(member));
}

std::vector<InstanceId> MemberTable::setCandidates(const std::vector<Member>& candidates)
{
    std::vector<InstanceId> changed;
    m_listed.clear();
    for (const auto& candidate : candidates) {
        m_listed.insert(candidate.id);
        auto it = lowerBound(candidate.id);
        if (it == m_members.end() || it->id != candidate.id) {
            auto member = candidate;
            member.incarnation = 0;
            insert(it, std::move(member));
            changed.push_back(candidate.id);
        } else if (it->incarnation == 0 && it->peerAddress != candidate.peerAddress) {
            it->peerAddress = candidate.peerAddress;
            changed.push_back(candidate.id);
        } else if (candidate.state == MemberState::Leaving && it->state < MemberState::Leaving) {
            auto member = *it;
            member.state = MemberState::Leaving;
            replace(it, std::move(member));
            changed.push_back(candidate.id);
        }
    }
    std::vector<InstanceId> unlisted;
    for (const auto& member : m_members) {
        if (member.incarnation == 0 && member.id != m_self && !m_listed.contains(member.id)) {
            unlisted.push_back(member.id);
        }
    }
    for (const auto& id : unlisted) {
        remove(id);
        changed.push_back(id);
    }
    return changed;
}

void MemberTable::remove(const InstanceId& id)
{
    if (auto it = lowerBound(id); it != m_members.end() && it->id == id) {
        m_digest ^= digestOf(*it);
        m_members.erase(it);
    }
}

} // namespace lagoonspoke
