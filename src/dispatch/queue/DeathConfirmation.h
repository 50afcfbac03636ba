#pragma once

#include <vector>

#include <absl/container/flat_hash_map.h>

#include "dispatch/queue/GrantTable.h"
#include "dispatch/servers/PartQuarantine.h"

namespace lagoonspoke {

// Tells the death of a backend server from a connection that broke by itself. A death that one request reported is
// confirmed when a second request of the server reports it as well, or when the server ran no other; a later report of
// a request that goes on refutes it. Owned by a dispatcher.
class DeathConfirmation {
public:
    // Starts a death that a request has reported. The server ran the other requests beside it; the unanswered ones,
    // this one included, had no token yet.
    void begin(const BackendServerId&, int others, int unanswered, MonotonicTime now);
    // Adds a request that reports its server's death; returns those that the server had hardly begun to answer, each
    // once, when the death is confirmed.
    std::vector<PartQuarantine::DeadRequest> add(const GrantedRequest&, MonotonicTime now);
    // A request goes on after its server's supposed death.
    void refute(const GrantedRequest&, MonotonicTime now);
    // Forgets the deaths that can no longer be confirmed.
    void removeExpired(MonotonicTime now);

    std::size_t size() const { return m_deaths.size(); }

private:
    struct Death {
        MonotonicTime at;
        int others = 0;
        int unanswered = 0;
        int reports = 0;
        std::vector<PartQuarantine::DeadRequest> requests;
    };

    absl::flat_hash_map<BackendServerId, Death> m_deaths;
};

} // namespace lagoonspoke
