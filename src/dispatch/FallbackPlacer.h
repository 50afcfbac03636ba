#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "lagoonspoke/dispatch/BackendServer.h"
#include "lagoonspoke/dispatch/Messages.h"

namespace lagoonspoke {

// Chooses backend servers by power of two choices while no dispatcher answers, with what this instance itself has in
// flight as the only measure of load. Admits no tier below the highest fresh admission floor, and a bounded number of
// requests for each domain. Owned by PlacementRouter.
class FallbackPlacer {
public:
    static constexpr Duration floorLifetime = std::chrono::seconds(3);

    explicit FallbackPlacer(std::uint64_t seed)
        : m_random(seed)
    {
    }

    void setServers(std::vector<BackendServer>);
    // The number of instances that may place in a region at the same time shares its slots.
    void setInstanceCount(std::size_t n) { m_instanceCount = std::max<std::size_t>(n, 1); }
    void receiveFloor(const DomainId&, const InstanceId& from, Tier, MonotonicTime now);
    void receiveQuarantine(Fingerprint, MonotonicTime until);
    bool isQuarantined(Fingerprint, MonotonicTime now) const;

    // Each grant that this instance holds, of a dispatcher or of its own, is counted.
    void addInFlight(const BackendServerId&);
    void removeInFlight(const BackendServerId&);

    // Gives a server, or nothing when the request may not be placed now.
    const BackendServer* choose(const PlaceRequest&, std::size_t placedLocally, MonotonicTime now);

private:
    bool admits(const PlaceRequest&, MonotonicTime now) const;
    int inFlightOn(const BackendServerId&) const;

    struct Floor {
        Tier tier;
        MonotonicTime receivedAt;
    };

    std::mt19937_64 m_random;
    std::size_t m_instanceCount = 1;
    std::vector<BackendServer> m_servers;
    std::map<DomainId, std::map<InstanceId, Floor>> m_floors;
    std::map<Fingerprint, MonotonicTime> m_quarantine; // until
    std::map<BackendServerId, int> m_inFlight;
};

} // namespace lagoonspoke
