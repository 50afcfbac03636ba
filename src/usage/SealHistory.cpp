#include "usage/SealHistory.h"

namespace lagoonspoke {

namespace {

// Covers a copy that is a minute old where windows last five seconds.
constexpr std::size_t mostSeals = 12;

} // namespace

void SealHistory::add(WindowNumber window, std::string value)
{
    // The first one stays, as in the store.
    m_seals.try_emplace(window, std::move(value));
    if (m_seals.size() > mostSeals) {
        m_seals.erase(m_seals.begin());
    }
}

std::map<WindowNumber, std::string> SealHistory::missing(const std::set<WindowNumber>& stored) const
{
    auto missing = m_seals;
    // A copy has every seal up to its newest one, and reported windows are deleted in the end.
    if (!stored.empty()) {
        missing.erase(missing.begin(), missing.upper_bound(*stored.begin()));
    }
    std::erase_if(missing, [&](const auto& it) { return stored.contains(it.first); });
    return missing;
}

} // namespace lagoonspoke
