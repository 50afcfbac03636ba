#include "dispatch/placement/PartHomes.h"

#include <algorithm>
#include <string_view>

#include "lagoonspoke/core/Digest.h"

namespace lagoonspoke {

namespace {

// Limit of the parts whose homes are kept; those of others are computed again.
constexpr std::size_t maxParts = 16384;

} // namespace

void PartHomes::refresh(ServerPool& pool)
{
    if (m_generation == pool.generation() && m_homes.size() < maxParts) {
        return;
    }
    m_generation = pool.generation();
    m_homes.clear();
    m_servers.clear();
    for (auto& [id, state] : pool.servers()) {
        if (state.server.isOpen()) {
            m_servers.emplace_back(stableHash(id.value()), &state);
        }
    }
}

const PartHomes::Homes& PartHomes::find(PrefixBlock part, ServerPool& pool)
{
    refresh(pool);
    auto [it, created] = m_homes.try_emplace(part);
    if (!created) {
        return it->second;
    }
    std::vector<std::pair<std::uint64_t, ServerState*>> weights;
    weights.reserve(m_servers.size());
    for (const auto& [hash, state] : m_servers) {
        std::string_view bytes(reinterpret_cast<const char*>(&hash), sizeof(hash));
        weights.emplace_back(stableHash(bytes, static_cast<std::uint64_t>(part)), state);
    }
    auto count = std::min(homesPerPart, weights.size());
    auto end = weights.begin() + static_cast<std::ptrdiff_t>(count);
    std::ranges::partial_sort(weights, end, std::ranges::greater(), &decltype(weights)::value_type::first);
    for (auto weight = weights.begin(); weight != end; ++weight) {
        it->second.push_back(weight->second);
    }
    return it->second;
}

} // namespace lagoonspoke
