#include "membership/RumourStore.h"

#include <algorithm>

namespace lagoonspoke {

bool RumourStore::put(const Rumour& rumour, MonotonicTime now)
{
    if (rumour.key.empty() || rumour.key.size() + rumour.payload.size() > m_options.maxBytes
        || rumour.age >= m_options.lifetime) {
        return false;
    }
    auto it = m_entries.find(rumour.key);
    if (it != m_entries.end()) {
        if (it->second.rumour.version >= rumour.version) {
            return false;
        }
    } else if (m_entries.size() >= m_options.maxCount) {
        dropOldest();
    }
    m_entries[rumour.key] = { rumour, now - rumour.age };
    return true;
}

void RumourStore::dropOldest()
{
    m_entries.erase(std::ranges::min_element(m_entries, {}, [](const auto& entry) { return entry.second.published; }));
}

std::optional<Rumour> RumourStore::find(const std::string& key, MonotonicTime now) const
{
    auto it = m_entries.find(key);
    if (it == m_entries.end() || now - it->second.published >= m_options.lifetime) {
        return std::nullopt;
    }
    auto rumour = it->second.rumour;
    rumour.age = now - it->second.published;
    return rumour;
}

std::vector<Rumour> RumourStore::all(MonotonicTime now) const
{
    std::vector<Rumour> rumours;
    for (const auto& [key, entry] : m_entries) {
        if (auto rumour = find(key, now)) {
            rumours.push_back(std::move(*rumour));
        }
    }
    return rumours;
}

void RumourStore::dropExpired(MonotonicTime now)
{
    std::erase_if(m_entries, [&](const auto& entry) { return now - entry.second.published >= m_options.lifetime; });
}

} // namespace lagoonspoke
