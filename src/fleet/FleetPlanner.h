#pragma once

#include <deque>
#include <map>
#include <vector>

#include "lagoonspoke/core/Ids.h"
#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// Load of one model, in servers that it keeps busy.
struct FleetDemand {
    double load = 0;
    double protectedLoad = 0; // of the tiers that must fit without any one data centre's spot servers
    int minServers = 0;
    int maxServers = 0;
    bool allowSpot = true;
    // The load as an average over the last seconds, by slots or by the reading of prompts, whichever keeps more servers
    // busy; 0 while too little was measured.
    double meanLoad = 0;
};

struct FleetCounts {
    int onDemand = 0;
    int spot = 0;

    bool operator==(const FleetCounts&) const = default;
};

using FleetPlan = std::map<DataCentreId, FleetCounts>;

// Chooses the number of on-demand and spot servers of one model in each data centre at the lowest price, so that the
// load fits, and the protected load also without any one data centre's spot servers. Pure; owned by FleetService.
class FleetPlanner {
public:
    struct Options {
        std::vector<DataCentreId> dataCentres;
        double spotPrice = 0.3; // of an on-demand server's price
        // Servers beyond the measured load, for its growth while new servers start.
        double headroom = 1.2;
        // A plan holds the highest need of this time, as a server that is given back takes minutes to replace.
        Duration shrinkDelay = std::chrono::minutes(10);
        // Where a spot server was refused or evicted, none is asked for during this time.
        Duration spotRetryDelay = std::chrono::minutes(10);
    };

    static FleetPlanner Make(Options);

    FleetPlan plan(const FleetDemand&, MonotonicTime now);
    // A spot server could not be had, or spot servers were evicted.
    void noteSpotMissing(const DataCentreId&, MonotonicTime now);

private:
    struct Need {
        MonotonicTime time;
        int servers = 0;
        int protectedServers = 0;
    };
    struct Mix {
        int onDemand = 0;
        int spot = 0;
    };

    explicit FleetPlanner(Options);

    Need highestNeed(const FleetDemand&, MonotonicTime now);
    std::vector<DataCentreId> spotDataCentres(const FleetDemand&, MonotonicTime now) const;
    Mix chooseMix(const Need&, int spotDataCentres, int maxServers) const;

    Options m_options;
    std::deque<Need> m_needs; // of the shrink delay
    std::map<DataCentreId, MonotonicTime> m_spotMissingSince;
};

} // namespace lagoonspoke
