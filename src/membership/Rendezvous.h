#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "lagoonspoke/membership/Member.h"

namespace lagoonspoke {

// Rendezvous hashing weight of an instance for a key; the highest wins. The same on every instance and build.
std::uint64_t rendezvousWeight(std::string_view key, const InstanceId&);
// Includes the start of the process: a restarted instance does not reclaim the domains that moved away from it.
std::uint64_t rendezvousWeight(std::string_view key, const Member&);

// Whether the member takes part in rendezvous hashing. Suspected members do, as most suspicions are refuted.
inline bool isEligible(const Member& member)
{
    return member.state == MemberState::Alive || member.state == MemberState::Suspect;
}

// The members that are not dead, without the instance itself.
std::vector<InstanceId> listOthers(const std::vector<Member>&, const InstanceId& self);

// The region part of a domain "REGION/NAME".
RegionId regionOf(const DomainId&);

// The instance that runs the domain's dispatcher: the eligible member of the domain's region with the highest weight,
// among those with at least three quarters of the region's largest capacity.
// Nothing when the region has no eligible member.
std::optional<InstanceId> ownerOf(const DomainId&, const std::vector<Member>&);

// The eligible members of the region with the highest weights for the key, best first, at most n.
std::vector<const Member*> topMembers(std::string_view key, const RegionId&, const std::vector<Member>&, std::size_t n);

} // namespace lagoonspoke
