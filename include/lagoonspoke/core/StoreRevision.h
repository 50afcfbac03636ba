#pragma once

#include <cstdint>

namespace lagoonspoke {

// A store that is restored from a copy gives the numbers since the copy out again. Revisions and versions therefore
// carry in their upper bits how often the store was restored, so that they always rise. The lower bits hold the
// store's own counter.
namespace detail {

constexpr int revisionCounterBits = 48;
constexpr std::uint64_t largestRevisionCounter = (std::uint64_t(1) << revisionCounterBits) - 1;
// Revisions stay below 2^63, as JSON integers are signed.
constexpr std::uint64_t mostRestorations = (std::uint64_t(1) << 15) - 1;

} // namespace detail

constexpr std::uint64_t makeRevision(std::uint64_t restorations, std::uint64_t counter)
{
    return (restorations << detail::revisionCounterBits) | (counter & detail::largestRevisionCounter);
}

constexpr std::uint64_t restorationsOf(std::uint64_t revision)
{
    return revision >> detail::revisionCounterBits;
}

constexpr std::uint64_t counterOf(std::uint64_t revision)
{
    return revision & detail::largestRevisionCounter;
}

} // namespace lagoonspoke
