#pragma once

#include <set>
#include <vector>

#include "lagoonspoke/membership/Member.h"

namespace lagoonspoke {

// An instance's view of itself and the other members. An entry is replaced by one with a higher incarnation, or with
// the same incarnation and a later state. Owned by Membership.
class MemberTable {
public:
    explicit MemberTable(Member self);

    const Member& self() const { return *find(m_self); }
    // Sorted by id; includes this instance.
    const std::vector<Member>& members() const { return m_members; }
    const Member* find(const InstanceId&) const;

    // Applies an update about another instance and returns whether the table changed. An update without an address,
    // or of state Dead, is ignored for an unknown instance.
    bool merge(const Member& update);
    // Changes this instance's own entry.
    void setSelf(std::uint64_t incarnation, MemberState);
    // Applies the candidates of the instance list. An unknown one counts as alive, with incarnation 0, until it
    // responds or fails. One that never responded is removed when it is no longer listed. Returns the changed ids.
    std::vector<InstanceId> setCandidates(const std::vector<Member>&);
    bool isListed(const InstanceId& id) const { return m_listed.contains(id); }
    void remove(const InstanceId&);

    // Equal on two instances that agree on which members are alive and which are leaving. Suspicions are excluded
    // because they are transient.
    std::uint64_t digest() const { return m_digest; }

private:
    std::vector<Member>::iterator lowerBound(const InstanceId&);
    void replace(std::vector<Member>::iterator, Member);
    void insert(std::vector<Member>::iterator, Member);

    InstanceId m_self;
    std::vector<Member> m_members;
    std::set<InstanceId> m_listed;
    std::uint64_t m_digest = 0;
};

} // namespace lagoonspoke
