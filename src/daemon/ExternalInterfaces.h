#pragma once

#include <optional>
#include <string>

#include "config/DocumentFollower.h"
#include "entry/CallerDialect.h"
#include "external/CapacityOrders.h"
#include "external/InstanceDirectory.h"
#include "external/ObjectCollection.h"
#include "external/ObjectStore.h"
#include "external/UsageReporter.h"
#include "settings/DaemonSettings.h"

namespace lagoonspoke {

// An operators' document in the store that holds the whole configuration.
struct ConfigurationDocument {
    ObjectCollectionPtr collection;
    std::string name;
    DecodeDocument decode;
};

// Everything outside of the fleet that an instance speaks with, behind interfaces that say nothing of its protocols.
// An installation with other protocols than the product's own brings its own implementations. Owned by the Daemon.
struct ExternalInterfaces {
    // Tells this process from an earlier one with the same instance id, to every interface alike.
    std::string process;
    std::shared_ptr<const CallerDialect> dialect;
    // Null for an instance that knows only itself and a fixed list of backend servers.
    InstanceDirectoryPtr directory;
    // Null with a static configuration.
    ObjectStorePtr store;
    // Null when usage is counted but not reported.
    UsageReporterPtr usage;
    // The product's own interface for orders of single backend servers; none without it.
    std::optional<tcp::endpoint> fleet;
    // Orders of wished numbers in place of that interface; null without them.
    CapacityOrdersPtr capacity;
    // Whether model engines answer the product's own calls for load and cache events.
    bool monitorsEngines = false;
    // Where operators submit change tickets, or the document in place of them; neither with a static configuration.
    WatchableObjectStorePtr tickets;
    std::optional<ConfigurationDocument> document;
};

// A name for ExternalInterfaces::process; another one at each call.
std::string makeProcessName(const DaemonSettings&);

// The product's own interfaces. Errors: InvalidArgument when an address of the settings cannot be parsed.
Outcome<ExternalInterfaces> makeOwnInterfaces(const DaemonSettings&);

} // namespace lagoonspoke
