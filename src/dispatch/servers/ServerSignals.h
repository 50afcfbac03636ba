#pragma once

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "lagoonspoke/dispatch/BackendServer.h"
#include "lagoonspoke/dispatch/Messages.h"

namespace lagoonspoke {

// What backend servers said in their answers to this instance: that they leave, or that they take no request from it
// for some time. Binds this instance at once, whatever its dispatchers know. Owned by PlacementRouter.
class ServerSignals {
public:
    void record(const BackendServerId&, const ServerSignal&, MonotonicTime now);
    // Whether the server takes no request from this instance now.
    bool refuses(const BackendServerId&, MonotonicTime now) const;
    bool leaves(const BackendServerId&) const;
    // Adds those of the servers that take no request from this instance now.
    void addTo(
        std::vector<BackendServerId>& excluded, const std::vector<const BackendServer*>&, MonotonicTime now) const;
    bool empty() const { return m_signals.empty(); }
    // If none of the servers takes requests from this instance: the time until the first one might. An empty list has
    // no such time.
    std::optional<Duration> waitForAny(const std::vector<const BackendServer*>&, MonotonicTime now) const;

private:
    struct Signalled {
        bool leaves = false;
        MonotonicTime pausedUntil {};
        bool refuses(MonotonicTime now) const { return leaves || now < pausedUntil; }
    };

    std::map<BackendServerId, Signalled> m_signals;
    std::deque<BackendServerId> m_order; // of the first signals, the oldest at the front
};

} // namespace lagoonspoke
