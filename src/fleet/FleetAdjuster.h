#pragma once

#include <map>
#include <vector>

#include "fleet/FleetOrder.h"
#include "fleet/FleetPlanner.h"
#include "lagoonspoke/dispatch/BackendServer.h"

namespace lagoonspoke {

// Brings the servers of one target in one data centre to the planned counts: starts what is missing, and drains what
// is too much before it is stopped. Pure; owned by FleetService.
class FleetAdjuster {
public:
    struct Options {
        // A draining server is stopped after this time even if it still reports work; its streams resume elsewhere.
        Duration drainBound = std::chrono::minutes(5);
        // A server gets no new work a few seconds after it began to drain; it is not stopped before.
        Duration drainLeast = std::chrono::seconds(5);
    };
    struct State {
        std::vector<BackendServer> servers; // of the target in the data centre
        std::vector<FleetOrderBody> pending; // of the data centre, not known to be carried out
        std::map<BackendServerId, int> busy; // requests that a server runs
    };

    static FleetAdjuster Make(Options);

    // The orders to give now. Servers that drain afterwards are in draining().
    std::vector<FleetOrderBody> adjust(const TargetName&, const FleetCounts&, const State&, MonotonicTime now);
    const std::map<BackendServerId, MonotonicTime>& draining() const { return m_draining; }

private:
    explicit FleetAdjuster(Options);

    void forgetGone(const State&);
    void adjustKind(const TargetName&, bool spot, int wanted, const State&, MonotonicTime now);
    bool isDrained(const BackendServerId&, const State&, MonotonicTime now) const;

    Options m_options;
    std::map<BackendServerId, MonotonicTime> m_draining; // since when
    std::vector<FleetOrderBody> m_orders;
};

} // namespace lagoonspoke
