#include "dispatch/servers/PrefixCache.h"

#include <algorithm>

namespace lagoonspoke {

namespace {

// Parts may have no tokens, so the engine's capacity alone does not bound their number.
constexpr std::size_t maxCachedParts = 8192;

} // namespace

Tokens PrefixCache::cachedTokens(const PlaceRequest& place) const
{
    Tokens sum;
    for (std::size_t i = 0; i < place.prefix.size() && m_parts.contains(place.prefix[i]); ++i) {
        sum += place.prefixTokens[i];
    }
    return sum;
}

bool PrefixCache::isBeingRead(const PlaceRequest& place, MonotonicTime now) const
{
    for (const auto& block : place.prefix) {
        auto it = m_parts.find(block);
        if (it == m_parts.end()) {
            return false;
        }
        if (it->second->expectedReadAt && now < *it->second->expectedReadAt) {
            return true;
        }
    }
    return false;
}

void PrefixCache::startReading(const PlaceRequest& place, MonotonicTime expected)
{
    for (std::size_t i = 0; i < place.prefix.size(); ++i) {
        if (auto it = m_parts.find(place.prefix[i]); it != m_parts.end()) {
            m_order.splice(m_order.end(), m_order, it->second);
            continue;
        }
        m_order.push_back({ place.prefix[i], place.prefixTokens[i], expected });
        m_parts.emplace(place.prefix[i], std::prev(m_order.end()));
        m_size += place.prefixTokens[i];
    }
    evictLeastRecentlyUsed();
}

void PrefixCache::finishReading(const PlaceRequest& place)
{
    for (const auto& block : place.prefix) {
        if (auto it = m_parts.find(block); it != m_parts.end()) {
            it->second->expectedReadAt.reset();
        }
    }
}

void PrefixCache::clear()
{
    m_order.clear();
    m_parts.clear();
    m_size = {};
}

void PrefixCache::evictLeastRecentlyUsed()
{
    auto isFull = [this] { return m_order.size() > maxCachedParts || (m_capacity.count > 0 && m_size > m_capacity); };
    while (!m_order.empty() && isFull()) {
        const auto& oldest = m_order.front();
        m_size -= oldest.tokens;
        m_parts.erase(oldest.block);
        m_order.pop_front();
    }
}

} // namespace lagoonspoke
