#include "daemon/ExternalInterfaces.h"

#include "core/ProcessName.h"

#include <fmt/format.h>

#include "external/ObjectStoreClient.h"
#include "external/PolledDirectory.h"
#include "external/UsageClient.h"
#include "http/Endpoint.h"

namespace lagoonspoke {

namespace {

constexpr Duration storeBound = std::chrono::seconds(2);
constexpr Duration reportBound = std::chrono::seconds(2);

// Parses an optional address of the settings; absent when it is empty.
Outcome<std::optional<tcp::endpoint>> parseOptional(const std::string& address)
{
    if (address.empty()) {
        return std::optional<tcp::endpoint>();
    }
    return parseEndpoint(address).map([](const auto& it) { return std::optional(it); });
}

} // namespace

std::string makeProcessName(const DaemonSettings& settings)
{
    return fmt::format(
        "{}{}{:x}", settings.instance.value(), processSeparator, readMonotonicClock().time_since_epoch().count());
}

Outcome<ExternalInterfaces> makeOwnInterfaces(const DaemonSettings& settings)
{
    auto store = parseOptional(settings.storeAddress);
    auto instances = parseOptional(settings.instanceListAddress);
    auto usage = parseOptional(settings.usageAddress);
    auto fleet = parseOptional(settings.fleetAddress);
    for (const auto* address : { &store, &instances, &usage, &fleet }) {
        if (!*address) {
            return tl::make_unexpected(address->error());
        }
    }
    ExternalInterfaces interfaces;
    interfaces.process = makeProcessName(settings);
    interfaces.dialect = std::make_shared<OwnDialect>();
    if (*store) {
        interfaces.tickets = std::make_shared<ObjectStoreClient>(**store, storeBound);
        interfaces.store = interfaces.tickets;
    }
    if (*instances) {
        interfaces.directory = std::make_shared<PolledDirectory>(**instances);
    }
    if (*usage) {
        interfaces.usage = std::make_shared<UsageClient>(**usage, interfaces.process, reportBound);
    }
    interfaces.fleet = *fleet;
    interfaces.monitorsEngines = true;
    return interfaces;
}

} // namespace lagoonspoke
