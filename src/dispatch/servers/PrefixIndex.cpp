#include "dispatch/servers/PrefixIndex.h"

namespace lagoonspoke {

void PrefixIndex::startBatch(std::uint64_t firstSequence)
{
    if (firstSequence > m_nextSequence) {
        m_blocks.clear();
        m_nextSequence = firstSequence;
    }
    m_position = firstSequence;
}

void PrefixIndex::apply(PrefixBlock block, bool stored)
{
    if (m_position++ < m_nextSequence) {
        return;
    }
    m_nextSequence = m_position;
    if (!stored) {
        m_blocks.erase(block);
    } else if (m_blocks.size() < maxIndexedBlocks) {
        m_blocks.insert(block);
    }
}

std::size_t PrefixIndex::cachedBlocks(const std::vector<PrefixBlock>& prefix) const
{
    std::size_t count = 0;
    while (count < prefix.size() && m_blocks.contains(prefix[count])) {
        ++count;
    }
    return count;
}

} // namespace lagoonspoke
