#pragma once

#include <cstdint>
#include <vector>

#include <absl/container/flat_hash_set.h>

#include "lagoonspoke/core/Units.h"

namespace lagoonspoke {

// Prefix blocks that one model engine has cached, according to its cache events. Owned by the engine's ServerState.
class PrefixIndex {
public:
    // Starts a batch of changes numbered from firstSequence. Changes that were applied before are skipped; a gap in the
    // numbers clears the index, as evictions may have been lost.
    void startBatch(std::uint64_t firstSequence);
    void apply(PrefixBlock, bool stored);

    // Number of leading blocks of the prefix that are cached.
    std::size_t cachedBlocks(const std::vector<PrefixBlock>& prefix) const;
    std::size_t size() const { return m_blocks.size(); }

private:
    // Keeps the indexes of a dispatcher with 18 servers under 10 MB; further blocks are not indexed.
    static constexpr std::size_t maxIndexedBlocks = 32768;

    absl::flat_hash_set<PrefixBlock> m_blocks;
    std::uint64_t m_nextSequence = 0; // of the next change to apply
    std::uint64_t m_position = 0; // of the next change in the current batch
};

} // namespace lagoonspoke
