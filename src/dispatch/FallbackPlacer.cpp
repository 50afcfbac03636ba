#include "dispatch/FallbackPlacer.h"

#include <algorithm>

namespace lagoonspoke {

namespace {

// Whether the server belongs to the domain "REGION/TARGET".
bool serves(const BackendServer& server, const DomainId& domain)
{
    const auto& text = domain.value();
    return text.substr(text.find('/') + 1) == server.target.value();
}

} // namespace

void FallbackPlacer::setServers(std::vector<BackendServer> servers)
{
    m_servers = std::move(servers);
}

void FallbackPlacer::receiveFloor(const DomainId& domain, const InstanceId& from, Tier tier, MonotonicTime now)
{
    auto& floors = m_floors[domain];
    std::erase_if(floors, [&](const auto& it) { return now - it.second.receivedAt > floorLifetime; });
    floors[from] = { tier, now };
}

void FallbackPlacer::receiveQuarantine(const QuarantineReceived& received, MonotonicTime now)
{
    std::erase_if(m_quarantine, [&](const auto& it) { return it.second.until <= now; });
    m_quarantine[received.fingerprint] = { now + received.remaining, received.companions };
}

std::vector<QuarantineReceived> FallbackPlacer::quarantines(MonotonicTime now) const
{
    std::vector<QuarantineReceived> quarantines;
    for (const auto& [fingerprint, known] : m_quarantine) {
        if (known.until > now) {
            quarantines.push_back({ fingerprint, known.until - now, known.companions });
        }
    }
    return quarantines;
}

bool FallbackPlacer::isQuarantined(const PlaceRequest& place, MonotonicTime now) const
{
    auto hasPart = [&](Fingerprint part) { return std::ranges::count(place.parts, part) > 0; };
    auto isInForce = [&](Fingerprint fingerprint) {
        auto it = m_quarantine.find(fingerprint);
        return it != m_quarantine.end() && it->second.until > now
            && std::ranges::all_of(it->second.companions, hasPart);
    };
    return isInForce(place.fingerprint) || std::ranges::any_of(place.parts, isInForce);
}

void FallbackPlacer::addInFlight(const BackendServerId& server)
{
    ++m_inFlight[server];
}

void FallbackPlacer::removeInFlight(const BackendServerId& server)
{
    if (auto it = m_inFlight.find(server); it != m_inFlight.end() && --it->second == 0) {
        m_inFlight.erase(it);
    }
}

int FallbackPlacer::inFlightOn(const BackendServerId& server) const
{
    auto it = m_inFlight.find(server);
    return it == m_inFlight.end() ? 0 : it->second;
}

bool FallbackPlacer::admits(const PlaceRequest& place, MonotonicTime now) const
{
    auto it = m_floors.find(place.domain);
    return it == m_floors.end() || std::ranges::none_of(it->second, [&](const auto& entry) {
        return now - entry.second.receivedAt <= floorLifetime && entry.second.tier.isHigherThan(place.tier);
    });
}

const BackendServer* FallbackPlacer::choose(const PlaceRequest& place, std::size_t placedLocally, MonotonicTime now)
{
    std::vector<const BackendServer*> available;
    std::size_t slots = 0;
    for (const auto& server : m_servers) {
        if (!serves(server, place.domain) || server.leaving) {
            continue;
        }
        slots += static_cast<std::size_t>(server.slots);
        if (inFlightOn(server.id) < server.slots && !std::ranges::count(place.excluded, server.id)) {
            available.push_back(&server);
        }
    }
    // This instance's share, rounded up: all instances together place about as many requests as there are slots.
    auto limit = (slots + m_instanceCount - 1) / m_instanceCount;
    if (available.empty() || placedLocally >= limit || !admits(place, now)) {
        return nullptr;
    }
    std::vector<const BackendServer*> candidates;
    std::ranges::sample(available, std::back_inserter(candidates), 2, m_random);
    auto load = [&](const BackendServer* it) { return static_cast<double>(inFlightOn(it->id)) / it->slots; };
    return candidates.size() == 2 && load(candidates[1]) < load(candidates[0]) ? candidates[1] : candidates[0];
}

} // namespace lagoonspoke
