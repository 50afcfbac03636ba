#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "dispatch/servers/ServerPool.h"

namespace lagoonspoke {

// The engines that a shared prompt part belongs to, by rendezvous hashing of the part and the engine. Every dispatcher
// finds the same ones without messages, and when an engine comes or goes, few parts change theirs. Owned by the
// PromptPlacement.
class PartHomes {
public:
    // Engines of one part. More than the copies that a busy part needs, as some are full, slow or run streams.
    static constexpr std::size_t homesPerPart = 6;
    using Homes = std::vector<ServerState*>;

    // The homes of the part, best first. Valid until the pool's servers change.
    const Homes& find(PrefixBlock, ServerPool&);

private:
    void refresh(ServerPool&);

    std::uint64_t m_generation = 0; // of the pool's servers
    std::vector<std::pair<std::uint64_t, ServerState*>> m_servers; // hash of the id
    absl::flat_hash_map<PrefixBlock, Homes> m_homes;
};

} // namespace lagoonspoke
