#include "standins/PrefixCache.h"

namespace lagoonspoke {

namespace {

constexpr std::size_t keptEvents = 4096;

} // namespace

PrefixCache::PrefixCache(std::size_t capacity)
    : m_capacity(capacity)
{
}

std::size_t PrefixCache::touch(const std::vector<std::uint64_t>& blocks)
{
    std::size_t hits = 0;
    while (hits < blocks.size() && m_index.contains(blocks[hits])) {
        ++hits;
    }
    for (auto block : blocks) {
        store(block);
    }
    return hits;
}

void PrefixCache::store(std::uint64_t block)
{
    if (auto it = m_index.find(block); it != m_index.end()) {
        m_order.splice(m_order.begin(), m_order, it->second);
        return;
    }
    if (m_order.size() >= m_capacity) {
        log(false, m_order.back());
        m_index.erase(m_order.back());
        m_order.pop_back();
    }
    m_order.push_front(block);
    m_index[block] = m_order.begin();
    log(true, block);
}

void PrefixCache::log(bool stored, std::uint64_t block)
{
    m_events.push_back({ ++m_lastSequence, stored, block });
    if (m_events.size() > keptEvents) {
        m_events.pop_front();
    }
}

std::vector<PrefixCache::Event> PrefixCache::eventsAfter(std::uint64_t sequence) const
{
    std::vector<Event> events;
    for (const auto& event : m_events) {
        if (event.sequence > sequence) {
            events.push_back(event);
        }
    }
    return events;
}

} // namespace lagoonspoke
