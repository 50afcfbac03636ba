#pragma once

#include <map>
#include <optional>
#include <set>
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

// Plans the servers of one deployment for a platform that takes wished numbers for each data centre. It handles these
// load patterns:
// - A burst comes sooner than new servers start: the servers are a multiple of those that the mean load keeps busy.
// - All cheap servers of one data centre are evicted at once: those that are left still carry the mean load with a
//   quarter of the headroom. Lasting servers are ordered only for what the others do not carry.
// - Load that rises and falls: the plan follows a rise at once and a fall only when it has lasted.
// Pure; owned by CapacityService.
class CapacityPlanner {
public:
    struct Options {
        std::vector<DataCentreId> dataCentres;
        // Servers for each one that the mean load keeps busy.
        double headroom = 3;
        // Part of the platform's bound that is kept while the load is unknown.
        double initialPart = 0.5;
        // Part of the platform's bound that no load exceeds.
        double largestPart = 0.75;
        // Time until an order that was refused is repeated. One that was taken is repeated, while its servers are
        // missing, once they had the time to start besides.
        Duration repeatInterval = std::chrono::seconds(2);
    };

    explicit CapacityPlanner(Options);

    // The servers that the load keeps busy on average, over all data centres. 0 means that it was not measured, as by a
    // new dispatcher, and leaves the last known load in force.
    void setLoad(double load) { m_load = load > 0 ? load : m_load; }
    double load() const { return m_load; }
    // Servers of these data centres get no requests: others carry their load. They are neither ordered nor given back
    // meanwhile, as they are needed again afterwards.
    void setEvacuated(const std::set<DataCentreId>&);
    // The counts that each data centre shall have in the end.
    FleetPlan plan(const DeploymentSpec&) const;
    // The orders to give now in one data centre, by the servers of all data centres.
    std::vector<WishedCount> adjust(
        const DeploymentSpec&, const DataCentreId&, const std::vector<BackendServer>&, MonotonicTime now);
    // The platform refused the order for the kind of server, or its answer was lost.
    void recordRefusal(const DataCentreId&, bool cheap);
    // The orders of the data centre are to be given again, as another instance may have given others.
    void forgetOrders(const DataCentreId&);

private:
    struct Ordered {
        int count = 0;
        MonotonicTime at;
        bool refused = false;
    };
    // What the configuration says of the deployment's servers.
    struct Bounds {
        int least = 0;
        int most = 0;
        bool allowCheap = false;
        std::vector<DataCentreId> dataCentres = {};

        bool operator==(const Bounds&) const = default;
    };
    using Present = std::map<DataCentreId, FleetCounts>;

    // Servers of all data centres that the load and the bounds call for.
    int wantedTotal(const DeploymentSpec&) const;
    // Servers that must be left when one data centre loses its cheap ones.
    int survivorsNeeded(int total) const;
    // The cheapest way to have the total, and enough servers left after an eviction.
    FleetCounts chooseMix(const DeploymentSpec&, int total) const;
    void setTotal(const DeploymentSpec&, int total);
    void followLoad(const DeploymentSpec&, MonotonicTime now);
    Present countPresent(const DeploymentSpec&, const std::vector<BackendServer>&) const;
    // Lasting servers to order in the data centre in place of cheap ones that are missing.
    int standIns(const FleetPlan&, const Present&, const DataCentreId&, int total) const;
    bool isDue(const DeploymentSpec&, const WishedCount&, int present, MonotonicTime now) const;

    Options m_options;
    std::vector<DataCentreId> m_dataCentres; // those that are not evacuated; all if all are
    double m_load = 0;
    int m_total = 0; // the planned number of servers; 0 before the first plan
    FleetCounts m_mix; // chosen together with it
    std::optional<Bounds> m_bounds; // of the configuration that the total was chosen for
    std::optional<MonotonicTime> m_lowSince; // since when fewer servers would do
    int m_highestSinceLow = 0; // highest wanted number since then
    std::map<std::pair<DataCentreId, bool>, Ordered> m_ordered;
};

} // namespace lagoonspoke
