#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "lagoonspoke/membership/Member.h"

namespace lagoonspoke {

// Weight of an instance for a key: the highest weight wins, equally on every instance and build.
std::uint64_t rendezvousWeight(std::string_view key, const InstanceId&);
// The same for one life of an instance: a restarted instance does not take its domains back from where they went.
std::uint64_t rendezvousWeight(std::string_view key, const Member&);

// Whether the member takes part in hashing. Suspected members do, as most suspicions are refuted.
inline bool isEligible(const Member& member)
{
    return member.state == MemberState::Alive || member.state == MemberState::Suspect;
}

// The members that can be reached, without the instance itself.
std::vector<InstanceId> listOthers(const std::vector<Member>&, const InstanceId& self);

// The region part of a domain "REGION/NAME".
RegionId regionOf(const DomainId&);

// The instance that runs the domain's dispatcher: the eligible member of the domain's region with the highest weight,
// among those of about the largest capacity.
// Nothing when the region has no eligible member.
std::optional<InstanceId> ownerOf(const DomainId&, const std::vector<Member>&);

// The eligible members of the region with the highest weights for the key, best first, at most n.
std::vector<const Member*> topMembers(std::string_view key, const RegionId&, const std::vector<Member>&, std::size_t n);

} // namespace lagoonspoke
