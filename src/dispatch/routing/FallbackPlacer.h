#pragma once

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "dispatch/Dispatcher.h"
#include "dispatch/servers/ColdRateLimit.h"
#include "dispatch/servers/RejectionGuard.h"
#include "dispatch/servers/RequestLimit.h"
#include "dispatch/servers/RequestTurns.h"
#include "lagoonspoke/dispatch/BackendServer.h"
#include "lagoonspoke/dispatch/Messages.h"

namespace lagoonspoke {

// Chooses backend servers by power of two choices while no dispatcher responds. The only measure of load is the number
// of grants that this instance has in flight. Admits no tier below the highest fresh admission floor, and a limited
// number of requests for each domain. Owned by PlacementRouter.
class FallbackPlacer {
public:
    static constexpr Duration floorLifetime = std::chrono::seconds(3);

    explicit FallbackPlacer(std::uint64_t seed)
        : m_random(seed)
    {
    }

    void setServers(std::vector<BackendServer>);
    // The slots of a domain are divided among this number of instances of the region, which may all place locally at
    // the same time.
    void setInstanceCount(std::size_t n) { m_instanceCount = std::max<std::size_t>(n, 1); }
    // All instances of the region, also those that are not known to live: they may be on the other side of a partition.
    void setKnownInstanceCount(std::size_t n) { m_knownInstanceCount = std::max<std::size_t>(n, 1); }
    void receiveFloor(const DomainId&, const InstanceId& from, Tier, MonotonicTime now);
    void receiveQuarantine(const QuarantineReceived&, MonotonicTime now);
    // The quarantines in force, of all dispatchers.
    std::vector<QuarantineReceived> quarantines(MonotonicTime now) const;
    // Whether the request or a part of its prompt is quarantined.
    bool isQuarantined(const PlaceRequest&, MonotonicTime now) const;

    // The listed servers of the domain that may take new requests.
    std::vector<const BackendServer*> serversOf(const DomainId&) const;
    // Whether the server takes no new requests, or was in an earlier list and is not in this one.
    bool isClosed(const BackendServerId&) const;

    // Empty for a server that is not listed.
    SoftwareVersion versionOf(const BackendServerId&) const;
    // Whether the domain has servers that take new requests, but none that may run the request.
    bool lacksVersion(const PlaceRequest&) const;

    // Counts every active grant of this instance, from a dispatcher or from local placement.
    void addInFlight(const BackendServerId&);
    void removeInFlight(const BackendServerId&);

    // An answer to a request of this instance showed whether its server has a request limit; see RequestLimit. Returns
    // whether the limit changed.
    bool recordAnswer(
        const BackendServerId&, const std::optional<RequestRate>&, MonotonicTime grantedAt, MonotonicTime now);
    // The request limits in force that this instance heard of, of the domain's servers.
    std::vector<KnownLimit> limits(const DomainId&, MonotonicTime now) const;
    // The same of the rejections that a server survives; see RejectionGuard.
    bool recordRejectionLimit(
        const BackendServerId&, const std::optional<RequestRate>&, MonotonicTime grantedAt, MonotonicTime now);
    void recordRejection(const BackendServerId&, MonotonicTime now);
    std::vector<KnownLimit> rejectionLimits(const DomainId&, MonotonicTime now) const;

    // Returns nullptr when the request may not be placed now.
    const BackendServer* choose(const PlaceRequest&, std::size_t placedLocally, MonotonicTime now);

private:
    bool admits(const PlaceRequest&, MonotonicTime now) const;
    int inFlightOn(const BackendServerId&) const;
    bool isWithinLimits(const BackendServer&, MonotonicTime now);
    bool isWithinColdLimit(const BackendServer&, MonotonicTime now);
    bool isListed(const BackendServerId&, const DomainId&) const;

    struct Floor {
        Tier tier;
        MonotonicTime receivedAt;
    };

    std::mt19937_64 m_random;
    std::size_t m_instanceCount = 1;
    std::size_t m_knownInstanceCount = 1;
    std::vector<BackendServer> m_servers;
    std::deque<BackendServerId> m_departed; // no longer listed, the latest at the back
    std::map<DomainId, std::map<InstanceId, Floor>> m_floors;
    struct KnownQuarantine {
        MonotonicTime until;
        std::vector<Fingerprint> companions; // it covers only requests with these parts as well
    };
    std::map<Fingerprint, KnownQuarantine> m_quarantine;
    std::map<BackendServerId, int> m_inFlight;
    struct LimitShare {
        RequestLimit limit;
        RequestTurns turns;
    };
    std::map<BackendServerId, LimitShare> m_limits;
    std::map<BackendServerId, RejectionGuard> m_rejections;
    std::map<BackendServerId, RequestTurns> m_coldTurns; // of servers with a cold tolerance
};

} // namespace lagoonspoke
