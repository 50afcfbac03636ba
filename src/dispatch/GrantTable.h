#pragma once

#include <functional>
#include <optional>
#include <set>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "lagoonspoke/dispatch/Messages.h"

namespace lagoonspoke {

// A request that holds a grant.
struct GrantedRequest {
    InstanceId entry;
    DataCentreId dataCentre;
    PlaceRequest place;
    GrantId grant {};
    BackendServerId server;
    MonotonicTime grantedAt;
    MonotonicTime lastProgress;
    std::int64_t charged = 0; // tokens charged to the team so far
    std::int64_t outputTokens = 0; // reported so far
    double promptWork = 0; // of this request on its server
    double queuedPromptWork = 0; // prompts in front of it on the server when it was granted
    int inFlightAtGrant = 0; // on the server before this grant
    bool started = false;
    bool firstByteSeen = false;
    bool gapSensitive = false; // its class has a short gap target
    bool guaranteed = false; // granted from the tier's guaranteed share: not preempted
    bool isolated = false; // a suspect request
    bool revoked = false;
    bool preempted = false; // revoked for a higher tier
    bool holdsSlot = true; // false after the grant expired unused
};

// The grants of a domain by request. Owned by a dispatcher.
class GrantTable {
public:
    GrantedRequest* find(const RequestId&);
    GrantedRequest& add(GrantedRequest, MonotonicTime expiry);
    std::optional<GrantedRequest> remove(const RequestId&);
    // A report showed that the grant is in use.
    void markStarted(GrantedRequest&);

    // Lets an unstarted grant expire once more.
    void restartExpiry(const RequestId&, MonotonicTime expiry);
    // Unstarted grants whose expiry has passed; each is given once.
    std::vector<RequestId> expired(MonotonicTime now);
    std::optional<MonotonicTime> nextExpiry() const;

    static bool isPreemptible(const GrantedRequest&);
    // Whether a tier below the given one holds a slot that could be taken back.
    bool hasPreemptibleBelow(Tier) const;
    std::vector<RequestId> requestsWhere(const std::function<bool(const GrantedRequest&)>&) const;
    const absl::flat_hash_map<RequestId, GrantedRequest>& all() const { return m_grants; }
    std::size_t size() const { return m_grants.size(); }

private:
    absl::flat_hash_map<RequestId, GrantedRequest> m_grants;
    absl::flat_hash_map<RequestId, MonotonicTime> m_expiryOf;
    std::set<std::pair<MonotonicTime, RequestId>> m_expiries;
};

} // namespace lagoonspoke
