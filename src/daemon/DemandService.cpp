#include "daemon/DemandService.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

#include "membership/Rendezvous.h"
#include "observe/LogLine.h"
#include "wire/FleetCodec.h"

namespace lagoonspoke {

namespace {

constexpr std::chrono::seconds askInterval(1);

FleetDemand makeDemand(const DeploymentSpec& deployment, const DomainLoad& load)
{
    FleetDemand demand;
    demand.load = load.slots / deployment.slotsPerServer;
    demand.meanLoad = std::max(load.meanRequests / deployment.slotsPerServer, load.readingServers);
    demand.protectedLoad = load.protectedSlots / deployment.slotsPerServer;
    demand.minServers = deployment.minServers;
    demand.maxServers = deployment.maxServers;
    demand.allowSpot = deployment.allowCheap;
    return demand;
}

} // namespace

DemandService::DemandService(
    asio::io_context& io, const DaemonSettings& settings, PeerService& peers, Callbacks callbacks)
    : m_settings(settings)
    , m_peers(peers)
    , m_callbacks(std::move(callbacks))
    , m_timer(io)
{
}

void DemandService::start()
{
    m_timer.expires_after(askInterval);
    m_timer.async_wait([this](error_code ec) {
        if (!ec) {
            ask();
            start();
        }
    });
}

void DemandService::ask()
{
    if (!m_snapshot || !m_callbacks.holdsLease()) {
        return;
    }
    std::set<InstanceId> owners;
    for (const auto& [target, deployment] : m_snapshot->configuration().deployments) {
        DomainId domain(fmt::format("{}/{}", m_settings.region.value(), target.value()));
        if (auto owner = ownerOf(domain, m_peers.members())) {
            owners.insert(*owner);
        }
    }
    for (const auto& owner : owners) {
        if (owner == m_settings.instance) {
            take(m_callbacks.ownLoads());
        } else {
            m_peers.send(owner, PeerChannel::Fleet, encodeFleetPacket({ true, {} }));
        }
    }
}

void DemandService::receive(const InstanceId& from, std::string_view payload)
{
    auto packet = decodeFleetPacket(payload);
    if (!packet) {
        LogLine(LogLevel::Warning, "peer_message_refused")
            .add("peer", from.value())
            .add("error", packet.error().message);
    } else if (packet->isQuery) {
        m_peers.send(from, PeerChannel::Fleet, encodeFleetPacket({ false, m_callbacks.ownLoads() }));
    } else {
        take(packet->loads);
    }
}

void DemandService::take(const std::vector<DomainLoad>& loads)
{
    for (const auto& load : loads) {
        m_loads[load.domain] = load;
    }
    std::map<BackendServerId, int> busy;
    for (const auto& [domain, load] : m_loads) {
        busy.insert(load.busy.begin(), load.busy.end());
    }
    m_callbacks.applyBusy(std::move(busy));
    if (!m_snapshot) {
        return;
    }
    // A deployment whose dispatcher has not started has no load, and still gets its least number of servers.
    for (const auto& [target, deployment] : m_snapshot->configuration().deployments) {
        DomainId domain(fmt::format("{}/{}", m_settings.region.value(), target.value()));
        auto it = m_loads.find(domain);
        m_callbacks.applyDemand(target, makeDemand(deployment, it == m_loads.end() ? DomainLoad() : it->second));
    }
}

} // namespace lagoonspoke
