#pragma once

#include <map>
#include <vector>

#include "fleet/FleetPlanner.h"
#include "lagoonspoke/config/Configuration.h"
#include "lagoonspoke/dispatch/BackendServer.h"

namespace lagoonspoke {

// One order of a wished number of servers.
struct WishedCount {
    DataCentreId dataCentre;
    bool cheap = false;
    int count = 0;

    bool operator==(const WishedCount&) const = default;
};

// Plans the servers of one deployment for a platform that takes wished numbers for each data centre: a few servers that
// last in every data centre, which carry the protected tiers, and cheap ones for the rest. Lasting servers stand in for
// cheap ones that are missing, and are given back once these serve. Pure; owned by CapacityService.
class CapacityPlanner {
public:
    struct Options {
        std::vector<DataCentreId> dataCentres;
        // Part of the servers that must last; the rest may be evicted, those of one data centre at once.
        double lastingPart = 1.0 / 3;
        // Part of the largest number of servers that is kept at any load: bursts come sooner than new servers start.
        double keptPart = 0.5;
        // Time until an order is repeated while its servers are missing.
        Duration repeatInterval = std::chrono::seconds(2);
    };

    explicit CapacityPlanner(Options);

    // The counts that each data centre shall have in the end.
    FleetPlan plan(const DeploymentSpec&) const;
    // The orders to give now in one data centre, by what is there.
    std::vector<WishedCount> adjust(
        const DeploymentSpec&, const DataCentreId&, const std::vector<BackendServer>&, MonotonicTime now);
    // The orders of the data centre are to be given again, as another instance may have given others.
    void forgetOrders(const DataCentreId&);

private:
    struct Ordered {
        int count = 0;
        MonotonicTime at;
    };

    bool isDue(const WishedCount&, int present, MonotonicTime now) const;

    Options m_options;
    std::map<std::pair<DataCentreId, bool>, Ordered> m_ordered;
};

} // namespace lagoonspoke
