#pragma once

#include <cstddef>

namespace lagoonspoke {

// The place of an instance among those that watch a collection, by which their watches end one after the other.
struct WatchTurn {
    std::size_t rank = 0; // from 0
    std::size_t watchers = 1;

    bool operator==(const WatchTurn&) const = default;
};

} // namespace lagoonspoke
