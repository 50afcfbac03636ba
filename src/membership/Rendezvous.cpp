#include "membership/Rendezvous.h"

#include <algorithm>

#include "lagoonspoke/core/Digest.h"

namespace lagoonspoke {

namespace {

// Instances with at least three quarters of the largest capacity may run dispatchers.
constexpr unsigned capacityNumerator = 3;
constexpr unsigned capacityDenominator = 4;

} // namespace

std::uint64_t rendezvousWeight(std::string_view key, const InstanceId& instance)
{
    return stableHash(instance.value(), stableHash(key));
}

std::uint64_t rendezvousWeight(std::string_view key, const Member& member)
{
    return stableHash(member.id.value(), stableHash(key, startOf(member.incarnation)));
}

std::vector<InstanceId> listOthers(const std::vector<Member>& members, const InstanceId& self)
{
    std::vector<InstanceId> others;
    for (const auto& member : members) {
        if (member.id != self && member.state != MemberState::Dead) {
            others.push_back(member.id);
        }
    }
    return others;
}

RegionId regionOf(const DomainId& domain)
{
    return RegionId(domain.value().substr(0, domain.value().find('/')));
}

std::optional<InstanceId> ownerOf(const DomainId& domain, const std::vector<Member>& members)
{
    auto region = regionOf(domain);
    unsigned largest = 0;
    for (const auto& member : members) {
        if (member.region == region && isEligible(member)) {
            largest = std::max<unsigned>(largest, member.capacity);
        }
    }
    // A dispatcher handles the messages of all instances, which would overload a small instance.
    std::vector<Member> capable;
    std::ranges::copy_if(members, std::back_inserter(capable),
        [&](const Member& it) { return it.capacity * capacityDenominator >= largest * capacityNumerator; });
    auto best = topMembers(domain.value(), region, capable, 1);
    return best.empty() ? std::nullopt : std::optional(best.front()->id);
}

std::vector<const Member*> topMembers(
    std::string_view key, const RegionId& region, const std::vector<Member>& members, std::size_t n)
{
    std::vector<std::pair<std::uint64_t, const Member*>> weighted;
    for (const auto& member : members) {
        if (member.region == region && isEligible(member)) {
            weighted.emplace_back(rendezvousWeight(key, member), &member);
        }
    }
    n = std::min(n, weighted.size());
    auto order = [](const auto& left, const auto& right) {
        return left.first != right.first ? left.first > right.first : left.second->id < right.second->id;
    };
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(n), weighted.end(), order);
    std::vector<const Member*> top;
    for (std::size_t i = 0; i < n; ++i) {
        top.push_back(weighted[i].second);
    }
    return top;
}

} // namespace lagoonspoke
