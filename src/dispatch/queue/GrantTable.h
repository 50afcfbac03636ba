#pragma once

#include <functional>
#include <optional>
#include <set>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "lagoonspoke/dispatch/Messages.h"

namespace lagoonspoke {

// A request with a grant.
struct GrantedRequest {
    InstanceId entry;
    DataCentreId dataCentre;
    PlaceRequest place;
    GrantId grant {};
    BackendServerId server;
    MonotonicTime grantedAt;
    MonotonicTime lastProgress;
    std::int64_t charged = 0; // tokens charged to the team so far
    std::int64_t outputTokens = 0; // reported by the entry so far
    double promptWork = 0; // uncached prompt work of this request on its server
    double queuedPromptWork = 0; // prompt work pending on the server when this request was granted
    int inFlightAtGrant = 0; // requests on the server just before this grant
    bool started = false;
    bool firstByteSeen = false;
    std::optional<MonotonicTime> answerBeganAt; // when its first token was reported
    bool gapSensitive = false; // its class has a short token gap target
    bool guaranteed = false; // granted from the tier's guaranteed share, so never preempted
    bool runsIsolated = false; // runs as a suspect on a server of its own
    bool revoked = false;
    bool preempted = false; // revoked in favour of a higher tier
    bool holdsSlot = true; // false after the grant expired unused

    // A prompt that crashes its server does so within this time of the first token.
    static constexpr Duration crashWindow = std::chrono::milliseconds(300);
    // Whether the answer has gone on for longer than a crash takes.
    bool isAnswered(MonotonicTime now) const { return answerBeganAt && now >= *answerBeganAt + crashWindow; }
};

// The grants of a domain by request. Owned by a dispatcher.
class GrantTable {
public:
    GrantedRequest* find(const RequestId&);
    GrantedRequest& add(GrantedRequest, MonotonicTime expiry);
    std::optional<GrantedRequest> remove(const RequestId&);
    // Marks a grant as in use, after a progress report, and stops its expiry.
    void markStarted(GrantedRequest&);

    // Sets a new expiry for an unstarted grant that expired() has returned.
    void restartExpiry(const RequestId&, MonotonicTime expiry);
    // Removes and returns the expiries that have passed. Each is returned once; the grants remain in the table.
    std::vector<RequestId> expired(MonotonicTime now);
    std::optional<MonotonicTime> nextExpiry() const;

    static bool isPreemptible(const GrantedRequest&);
    // Whether a grant of a tier below the given one can be preempted.
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
