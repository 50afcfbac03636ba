#include "daemon/StoreServices.h"

#include <algorithm>

namespace lagoonspoke {

namespace {

constexpr Duration handOverBound = std::chrono::seconds(3);
constexpr Duration releaseBound = std::chrono::seconds(1);

LeaseMachine::Options makeLeaseOptions(const DaemonSettings& settings)
{
    LeaseMachine::Options options;
    options.term = settings.leaseTerm;
    // Two renewals may fail, or be late, before orders end.
    options.renewInterval = std::min(options.renewInterval, settings.leaseTerm * 3 / 10);
    options.readInterval = std::min(options.readInterval, settings.leaseTerm / 2);
    options.maxOrderLifetime = std::min(options.maxOrderLifetime, settings.leaseTerm * 3 / 10);
    return options;
}

UsageService::Options makeUsageOptions(const DaemonSettings& settings, const std::string& process)
{
    UsageService::Options options;
    options.instance = settings.instance;
    options.writer = InstanceId(process);
    options.dataCentre = settings.dataCentre;
    options.region = settings.region;
    options.window = settings.usageWindow;
    options.sealGrace = settings.usageReportBound / 2;
    options.reportDue = settings.usageReportBound;
    // The rest is for the report and its repeats.
    options.sealLatest = settings.usageReportBound * 3 / 4;
    options.leaseExclusiveTime = makeLeaseOptions(settings).maxOrderLifetime;
    return options;
}

} // namespace

StoreServices::StoreServices(asio::io_context& io, const DaemonSettings& settings, const ExternalInterfaces& interfaces,
    PeerService& peers, Callbacks callbacks)
    : m_settings(settings)
    , m_peers(peers)
    , m_callbacks(std::move(callbacks))
    , m_process(interfaces.process)
    , m_dataCentres(
          settings.regionDataCentres.empty() ? std::vector { settings.dataCentre } : settings.regionDataCentres)
    , m_leases(io, interfaces.store, settings.instance, m_process, makeLeaseOptions(settings))
    , m_usage(
          io, makeUsageOptions(settings, m_process), interfaces.store, interfaces.usage,
          [this](
              const InstanceId& to, std::string payload) { m_peers.send(to, PeerChannel::Usage, std::move(payload)); },
          [this] { return m_leases.mayAct(LeaseService::usageLease()); })
    , m_demand(io, settings, peers, makeDemandCallbacks())
    , m_streamOrigins(std::make_shared<StreamOriginService>(io, settings.instance, interfaces.store))
{
    openConfiguration(io, interfaces);
    openFleet(io, interfaces);
    m_leases.setChanged(
        [this](const std::string& lease, std::optional<FencingToken> token) { changeLease(lease, token); });
}

void StoreServices::openConfiguration(asio::io_context& io, const ExternalInterfaces& interfaces)
{
    ConfigurationService::Callbacks callbacks;
    callbacks.applySnapshot = [this](SnapshotPtr snapshot) {
        m_demand.applySnapshot(snapshot);
        m_streamOrigins->applySnapshot(snapshot);
        if (m_capacity) {
            m_capacity->applySnapshot(snapshot);
        }
        m_callbacks.applySnapshot(std::move(snapshot));
    };
    callbacks.setKeyedAdmission = [this](bool allowed) { m_callbacks.setKeyedAdmission(allowed); };
    auto peers = ConfigurationPeers::Make(&m_peers);
    if (const auto& document = interfaces.document) {
        DocumentService::Options options { m_settings.instance, document->name, {} };
        m_document.emplace(io, std::move(options), document->collection, interfaces.store, document->decode,
            std::move(peers), std::move(callbacks));
    } else {
        m_tickets.emplace(io, m_settings, interfaces.tickets, std::move(peers), std::move(callbacks));
    }
}

std::optional<FencingToken> StoreServices::mayOrder(const DataCentreId& dataCentre) const
{
    return m_leases.mayAct(LeaseService::fleetLease(dataCentre));
}

void StoreServices::openFleet(asio::io_context& io, const ExternalInterfaces& interfaces)
{
    auto mayAct = [this](const DataCentreId& dataCentre) { return mayOrder(dataCentre); };
    if (interfaces.capacity) {
        CapacityPlanner::Options options;
        options.dataCentres = m_dataCentres;
        options.headroom = m_settings.capacityHeadroom;
        m_capacity.emplace(io, std::move(options), interfaces.capacity, std::move(mayAct));
        return;
    }
    if (!interfaces.fleet) {
        return;
    }
    FleetService::Options options;
    options.sender = m_process;
    options.dataCentres = m_dataCentres;
    m_fleet.emplace(io, std::move(options), interfaces.store, *interfaces.fleet, std::move(mayAct));
    // Every instance takes a rumour of this key for a leaving server, so that a draining one gets no new work.
    m_fleet->setDrainingChanged([this](const std::set<BackendServerId>& draining) {
        for (const auto& server : draining) {
            m_peers.publish({ "leaving/" + server.value(), 1, "" });
        }
    });
}

void StoreServices::changeLease(const std::string& lease, std::optional<FencingToken> token)
{
    if (lease == LeaseService::usageLease()) {
        m_usage.applyLease(token);
        return;
    }
    for (const auto& dataCentre : m_dataCentres) {
        if (lease != LeaseService::fleetLease(dataCentre)) {
            continue;
        }
        if (m_fleet) {
            m_fleet->applyLease(dataCentre, token);
        } else if (m_capacity) {
            m_capacity->applyLease(dataCentre, token);
        }
    }
}

bool StoreServices::holdsFleetLease() const
{
    return (m_fleet || m_capacity) && std::ranges::any_of(m_dataCentres, [this](const DataCentreId& it) {
        return m_leases.isHolder(LeaseService::fleetLease(it));
    });
}

DemandService::Callbacks StoreServices::makeDemandCallbacks()
{
    DemandService::Callbacks callbacks;
    callbacks.holdsLease = [this] { return holdsFleetLease(); };
    callbacks.ownLoads = [this] { return m_callbacks.ownLoads(); };
    callbacks.applyDemand = [this](const TargetName& target, const FleetDemand& demand) {
        if (m_fleet) {
            m_fleet->applyDemand(target, demand);
        } else if (m_capacity) {
            m_capacity->applyDemand(target, demand.meanLoad);
        }
    };
    callbacks.applyBusy = [this](std::map<BackendServerId, int> busy) {
        if (m_fleet) {
            m_fleet->applyBusy(std::move(busy));
        }
    };
    return callbacks;
}

void StoreServices::start()
{
    m_peers.setReceiver(PeerChannel::Configuration, [this](const InstanceId& from, std::string_view payload) {
        if (m_document) {
            m_document->handlePeerMessage(from, payload);
        } else {
            m_tickets->handlePeerMessage(from, payload);
        }
    });
    m_peers.setReceiver(PeerChannel::Usage,
        [this](const InstanceId& from, std::string_view payload) { m_usage.receive(from, payload); });
    m_peers.setReceiver(PeerChannel::Fleet,
        [this](const InstanceId& from, std::string_view payload) { m_demand.receive(from, payload); });
    if (m_document) {
        m_document->start();
    } else {
        m_tickets->start();
    }
    m_leases.start();
    m_demand.start();
    if (m_fleet) {
        m_fleet->start();
    } else if (m_capacity) {
        m_capacity->start();
    }
    m_usage.start();
    m_streamOrigins->start();
    handleMembers();
}

void StoreServices::handleMembers()
{
    if (m_document) {
        m_document->setRole(m_peers.readsStore(), m_peers.watchTurn(), m_peers.recipients());
        m_document->handleMembers(m_peers.members());
    } else {
        m_tickets->handleMembers(m_peers.members());
    }
    m_leases.applyMembers(m_peers.members());
    m_usage.applyMembers(m_peers.members());
    m_streamOrigins->applyRole(m_peers.readsStore(), m_peers.members());
}

void StoreServices::handleRumour(const Rumour& rumour)
{
    if (m_tickets) {
        m_tickets->handleRumour(rumour);
    }
}

void StoreServices::handleServers(const std::vector<BackendServer>& servers)
{
    m_streamOrigins->applyServers(servers);
    if (m_fleet) {
        m_fleet->applyServers(servers);
    } else if (m_capacity) {
        std::set<DataCentreId> evacuated;
        for (const auto& [dataCentre, since] : m_peers.evacuations()) {
            evacuated.insert(dataCentre);
        }
        m_capacity->applyServers(servers, std::move(evacuated));
    }
}

asio::awaitable<void> StoreServices::stop(std::optional<MonotonicTime> processEnd)
{
    auto left = [&] { return processEnd ? *processEnd - readMonotonicClock() : Duration::max(); };
    m_demand.stop();
    // The release of leases has the second half of what is left.
    co_await m_usage.handOver(std::min(handOverBound, left() / 2));
    co_await m_leases.release(std::min(releaseBound, left()));
    if (m_document) {
        m_document->stop();
    } else {
        m_tickets->stop();
    }
    if (m_capacity) {
        m_capacity->stop();
    }
    m_streamOrigins->stop();
}

UsageSink StoreServices::usageSink()
{
    return [this](UsageRecord record) { return m_usage.record(std::move(record)); };
}

} // namespace lagoonspoke
