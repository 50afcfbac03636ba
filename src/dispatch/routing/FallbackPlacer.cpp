#include "dispatch/routing/FallbackPlacer.h"

#include <algorithm>
#include <utility>

namespace lagoonspoke {

namespace {

// A dispatcher that was cut off for a while may still grant servers that are gone.
constexpr std::size_t mostDeparted = 1024;

// Whether the server belongs to the domain "REGION/TARGET".
bool serves(const BackendServer& server, const DomainId& domain)
{
    const auto& text = domain.value();
    return text.substr(text.find('/') + 1) == server.target.value();
}

} // namespace

void FallbackPlacer::setServers(std::vector<BackendServer> servers)
{
    auto before = std::exchange(m_servers, std::move(servers));
    auto isListed
        = [&](const BackendServerId& id) { return std::ranges::count(m_servers, id, &BackendServer::id) > 0; };
    std::erase_if(m_departed, isListed);
    for (const auto& server : before) {
        if (!isListed(server.id)) {
            m_departed.push_back(server.id);
        }
    }
    while (m_departed.size() > mostDeparted) {
        m_departed.pop_front();
    }
    std::erase_if(m_limits, [&](const auto& it) { return !isListed(it.first); });
    std::erase_if(m_rejections, [&](const auto& it) { return !isListed(it.first); });
    std::erase_if(m_coldTurns, [&](const auto& it) { return !isListed(it.first); });
}

bool FallbackPlacer::recordRejectionLimit(
    const BackendServerId& server, const std::optional<RequestRate>& rate, MonotonicTime grantedAt, MonotonicTime now)
{
    if (!rate && !m_rejections.contains(server)) {
        return false;
    }
    return m_rejections[server].recordAnswer(rate, grantedAt, now);
}

void FallbackPlacer::recordRejection(const BackendServerId& server, MonotonicTime now)
{
    if (auto it = m_rejections.find(server); it != m_rejections.end()) {
        it->second.recordRejection(now);
    }
}

std::vector<KnownLimit> FallbackPlacer::rejectionLimits(const DomainId& domain, MonotonicTime now) const
{
    std::vector<KnownLimit> limits;
    for (const auto& [server, guard] : m_rejections) {
        if (guard.rate() && isListed(server, domain)) {
            limits.push_back({ server, *guard.rate(), now - guard.heardAt() });
        }
    }
    return limits;
}

bool FallbackPlacer::isListed(const BackendServerId& id, const DomainId& domain) const
{
    auto it = std::ranges::find(m_servers, id, &BackendServer::id);
    return it != m_servers.end() && serves(*it, domain);
}

bool FallbackPlacer::recordAnswer(
    const BackendServerId& server, const std::optional<RequestRate>& rate, MonotonicTime grantedAt, MonotonicTime now)
{
    auto it = m_limits.find(server);
    if (it == m_limits.end()) {
        if (!rate) {
            return false;
        }
        it = m_limits.emplace(server, LimitShare { {}, RequestTurns(m_random()) }).first;
    }
    return it->second.limit.recordAnswer(rate, grantedAt, now);
}

std::vector<KnownLimit> FallbackPlacer::limits(const DomainId& domain, MonotonicTime now) const
{
    std::vector<KnownLimit> limits;
    for (const auto& server : m_servers) {
        auto it = m_limits.find(server.id);
        if (it != m_limits.end() && it->second.limit.rate() && serves(server, domain)) {
            limits.push_back({ server.id, *it->second.limit.rate(), now - it->second.limit.heardAt() });
        }
    }
    return limits;
}

std::vector<const BackendServer*> FallbackPlacer::serversOf(const DomainId& domain) const
{
    std::vector<const BackendServer*> servers;
    for (const auto& server : m_servers) {
        if (serves(server, domain) && server.isOpen()) {
            servers.push_back(&server);
        }
    }
    return servers;
}

SoftwareVersion FallbackPlacer::versionOf(const BackendServerId& id) const
{
    auto it = std::ranges::find(m_servers, id, &BackendServer::id);
    return it == m_servers.end() ? SoftwareVersion() : it->softwareVersion;
}

bool FallbackPlacer::lacksVersion(const PlaceRequest& place) const
{
    auto servers = serversOf(place.domain);
    return !servers.empty() && std::ranges::none_of(servers, [&](const BackendServer* it) {
        return fitsVersion(*it, place.softwareVersion);
    });
}

bool FallbackPlacer::isClosed(const BackendServerId& id) const
{
    auto it = std::ranges::find(m_servers, id, &BackendServer::id);
    return it != m_servers.end() ? !it->isOpen() : std::ranges::count(m_departed, id) > 0;
}

bool FallbackPlacer::isWithinColdLimit(const BackendServer& server, MonotonicTime now)
{
    auto rate = ColdRateLimit::localRate(server, now);
    if (!rate) {
        return true;
    }
    const auto& turns = m_coldTurns.try_emplace(server.id, m_random()).first->second;
    return turns.hasTurn(rate->perSecond / static_cast<double>(m_knownInstanceCount), now);
}

bool FallbackPlacer::isWithinLimits(const BackendServer& server, MonotonicTime now)
{
    if (auto guard = m_rejections.find(server.id);
        guard != m_rejections.end() && !guard->second.hasRoom(m_instanceCount, now)) {
        return false;
    }
    if (!isWithinColdLimit(server, now)) {
        return false;
    }
    auto it = m_limits.find(server.id);
    if (it == m_limits.end() || !it->second.limit.rate()) {
        return true;
    }
    auto share = it->second.limit.rate()->perSecond / static_cast<double>(m_instanceCount);
    return it->second.turns.hasTurn(share, now);
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
    for (const auto* server : serversOf(place.domain)) {
        slots += static_cast<std::size_t>(server->slots);
        if (fitsVersion(*server, place.softwareVersion) && inFlightOn(server->id) < server->slots
            && !std::ranges::count(place.excluded, server->id) && isWithinLimits(*server, now)) {
            available.push_back(server);
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
    const auto* chosen
        = candidates.size() == 2 && load(candidates[1]) < load(candidates[0]) ? candidates[1] : candidates[0];
    if (auto it = m_limits.find(chosen->id); it != m_limits.end() && it->second.limit.rate()) {
        it->second.turns.take(now);
    }
    if (auto it = m_rejections.find(chosen->id); it != m_rejections.end()) {
        it->second.recordGrant(now);
    }
    if (auto it = m_coldTurns.find(chosen->id); it != m_coldTurns.end()) {
        it->second.take(now);
    }
    return chosen;
}

} // namespace lagoonspoke
