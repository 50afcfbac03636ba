#include "daemon/ControlLoop.h"

#include <algorithm>
#include <random>

#include "daemon/DispatchRumours.h"
#include "dispatch/queue/AdmissionFloors.h"
#include "lagoonspoke/core/Overload.h"
#include "membership/Rendezvous.h"
#include "observe/LogLine.h"
#include "wire/PlacementCodec.h"

namespace lagoonspoke {

namespace {

// A floor is fresh for three seconds; unchanged ones are told again at this interval at most.
constexpr Duration floorInterval = std::chrono::milliseconds(900);

PlacementRouter::Options makeRouterOptions(const DaemonSettings& settings)
{
    PlacementRouter::Options options;
    options.self = settings.instance;
    options.seed = std::random_device {}();
    return options;
}

DispatchOptions makeDispatchOptions(const DaemonSettings& settings)
{
    DispatchOptions options;
    if (settings.dispatchPolicy == "fifo") {
        options.policy = DispatchPolicy::Fifo;
    } else if (settings.dispatchPolicy == "round-robin") {
        options.policy = DispatchPolicy::RoundRobin;
    } else if (settings.dispatchPolicy == "power-of-two") {
        options.policy = DispatchPolicy::PowerOfTwo;
    }
    options.pacesRecoveringServers = settings.pacesRecoveringServers;
    return options;
}

} // namespace

ControlLoop::ControlLoop(asio::io_context& io, const DaemonSettings& settings, PeerService& peers, Deliver deliver)
    : m_settings(settings)
    , m_peers(peers)
    , m_deliver(std::move(deliver))
    , m_timer(io)
    , m_router(PlacementRouter::Make(makeRouterOptions(settings)))
{
    handleMembers(m_peers.members());
}

void ControlLoop::stop()
{
    m_timer.cancel();
}

void ControlLoop::handleMembers(const std::vector<Member>& members)
{
    for (const auto& member : members) {
        m_regions[member.dataCentre] = member.region;
    }
    route(MembersUpdated { members });
    if (m_settings.coldRateFactor) {
        tellAll([share = connectedShare()](const DomainId&) { return ConnectedShareChanged { share }; });
    }
}

// Dead members count as known: they may be alive on the other side of a partition.
double ControlLoop::connectedShare() const
{
    std::size_t known = 0;
    std::size_t connected = 0;
    for (const auto& member : m_peers.members()) {
        if (member.region == m_settings.region) {
            ++known;
            connected += isEligible(member) ? 1 : 0;
        }
    }
    return known > 0 ? static_cast<double>(connected) / static_cast<double>(known) : 1;
}

void ControlLoop::handlePeerLost(const InstanceId& peer)
{
    route(PeerLost { peer });
}

void ControlLoop::handlePeerMessage(const InstanceId& from, std::string_view payload)
{
    ++m_traffic.messages;
    m_traffic.bytes += payload.size();
    if (auto packet = decodePlacementPacket(payload)) {
        if (std::holds_alternative<Resync>(packet->message)) {
            ++m_traffic.resyncs;
            m_traffic.resyncBytes += payload.size();
        }
        route(PeerMessage { from, std::move(*packet) });
    } else {
        LogLine(LogLevel::Warning, "peer_message_refused")
            .add("peer", from.value())
            .add("error", packet.error().message);
    }
}

void ControlLoop::handleRumour(const Rumour& rumour)
{
    if (auto floor = readFloorRumour(rumour)) {
        // An instance that leaves, or is gone, runs no dispatcher.
        auto it = std::ranges::find(m_peers.members(), floor->floor.from, &Member::id);
        if (it != m_peers.members().end() && isEligible(*it)) {
            route(*floor);
        }
    } else if (auto quarantine = readQuarantineRumour(rumour)) {
        route(*quarantine);
        tellAll([&](const DomainId&) { return *quarantine; });
    }
}

void ControlLoop::applySnapshot(SnapshotPtr snapshot)
{
    m_snapshot = std::move(snapshot);
    tellAll([&](const DomainId&) { return ConfigurationChanged { m_snapshot }; });
    if (updateColdTolerances()) {
        distributeServers();
    }
}

std::optional<ColdTolerance> ControlLoop::coldToleranceOf(const TargetName& target) const
{
    if (!m_settings.coldRateFactor || !m_snapshot) {
        return std::nullopt;
    }
    const auto& configuration = m_snapshot->configuration();
    double rate = 0;
    if (auto deployment = configuration.deployments.find(target); deployment != configuration.deployments.end()) {
        rate = deployment->second.coldRequestsPerSecond;
    } else if (auto service = configuration.services.find(target); service != configuration.services.end()) {
        rate = service->second.coldRequestsPerSecond;
    }
    if (rate <= 0) {
        return std::nullopt;
    }
    return ColdTolerance { rate, rate * *m_settings.coldRateFactor + m_settings.coldRateSlack };
}

bool ControlLoop::updateColdTolerances()
{
    bool changed = false;
    for (auto& server : m_servers) {
        auto tolerance = coldToleranceOf(server.target);
        changed = std::exchange(server.coldTolerance, tolerance) != tolerance || changed;
    }
    return changed;
}

void ControlLoop::applyServers(std::vector<BackendServer> servers)
{
    logServerChanges(servers);
    m_servers = std::move(servers);
    updateColdTolerances();
    distributeServers();
}

void ControlLoop::distributeServers()
{
    std::vector<BackendServer> ownRegion;
    for (const auto& server : m_servers) {
        if (regionOfServer(server) == m_settings.region) {
            ownRegion.push_back(server);
        }
    }
    route(ServersChanged { std::move(ownRegion) });
    tellAll([&](const DomainId& domain) { return ServersChanged { serversOf(domain) }; });
}

// A data centre without any instance is taken for one of this region.
RegionId ControlLoop::regionOfServer(const BackendServer& server) const
{
    auto it = m_regions.find(server.dataCentre);
    return it == m_regions.end() ? m_settings.region : it->second;
}

std::vector<BackendServer> ControlLoop::serversOf(const DomainId& domain) const
{
    std::vector<BackendServer> servers;
    for (const auto& server : m_servers) {
        if (fmt::format("{}/{}", regionOfServer(server).value(), server.target.value()) == domain.value()) {
            servers.push_back(server);
        }
    }
    return servers;
}

std::vector<std::pair<DomainId, BackendServer>> ControlLoop::ownedEngines() const
{
    std::vector<std::pair<DomainId, BackendServer>> engines;
    for (const auto& [domain, dispatcher] : m_dispatchers) {
        for (auto& server : serversOf(domain)) {
            // A plain service would take the monitor's calls for requests.
            if (m_snapshot && m_snapshot->findDeployment(server.target)) {
                engines.emplace_back(domain, std::move(server));
            }
        }
    }
    return engines;
}

std::vector<DomainLoad> ControlLoop::ownLoads() const
{
    std::vector<DomainLoad> loads;
    for (const auto& [domain, dispatcher] : m_dispatchers) {
        auto measured = dispatcher.load();
        DomainLoad load;
        load.domain = domain;
        load.busy = std::move(measured.grantsByServer);
        load.meanRequests = measured.meanRequests;
        load.readingServers = measured.readingServers;
        for (const auto& [tier, count] : measured.requestsByTier) {
            load.slots += count;
            load.protectedSlots += tier == Tier() ? count : 0;
        }
        loads.push_back(std::move(load));
    }
    return loads;
}

Dispatcher& ControlLoop::dispatcherOf(const DomainId& domain)
{
    auto [it, created] = m_dispatchers.try_emplace(domain, Dispatcher::Make(domain, makeDispatchOptions(m_settings)));
    if (created) {
        LogLine(LogLevel::Info, "dispatcher_started").add("domain", domain.value());
        auto now = readMonotonicClock();
        if (m_snapshot) {
            execute(domain, it->second.handle(ConfigurationChanged { m_snapshot }, now));
        }
        if (m_settings.coldRateFactor) {
            execute(domain, it->second.handle(ConnectedShareChanged { connectedShare() }, now));
        }
        execute(domain, it->second.handle(ServersChanged { serversOf(domain) }, now));
        for (const auto& quarantine : m_router.quarantines(now)) {
            execute(domain, it->second.handle(quarantine, now));
        }
    }
    return it->second;
}

void ControlLoop::handleEntryMessage(int thread, EntryMessage message)
{
    route(ThreadMessage { thread, std::move(message) });
}

void ControlLoop::tellDispatcher(const DomainId& domain, const DispatchEvent& event)
{
    if (auto it = m_dispatchers.find(domain); it != m_dispatchers.end()) {
        execute(domain, it->second.handle(event, readMonotonicClock()));
        drainWork();
    }
}

void ControlLoop::route(const RouterEvent& event)
{
    for (auto& action : m_router.handle(event, readMonotonicClock())) {
        m_work.push_back(std::move(action));
    }
    drainWork();
}

void ControlLoop::tellAll(const std::function<DispatchEvent(const DomainId&)>& makeEvent)
{
    // Work that comes up meanwhile could change the map, so it waits.
    auto nested = std::exchange(m_working, true);
    for (auto& [domain, dispatcher] : m_dispatchers) {
        execute(domain, dispatcher.handle(makeEvent(domain), readMonotonicClock()));
    }
    m_working = nested;
    drainWork();
}

void ControlLoop::drainWork()
{
    if (std::exchange(m_working, true)) {
        return;
    }
    while (!m_work.empty()) {
        auto action = std::move(m_work.front());
        m_work.pop_front();
        execute(action);
    }
    m_working = false;
    scheduleWakeup();
}

void ControlLoop::execute(RouterAction& action)
{
    std::visit(
        Overload {
            [&](SendToPeer& it) { m_peers.send(it.to, PeerChannel::Placement, encodePlacementPacket(it.packet)); },
            [&](SendToDispatcher& it) {
                auto& dispatcher = dispatcherOf(it.domain);
                execute(it.domain, dispatcher.handle(it.event, readMonotonicClock()));
            },
            [&](DropDispatcher& it) {
                if (m_dispatchers.erase(it.domain)) {
                    LogLine(LogLevel::Info, "dispatcher_stopped")
                        .add("domain", it.domain.value())
                        .add("owner", it.owner ? it.owner->value() : "none");
                }
                // The new dispatcher must not wait for the floor of one that grants nothing any more.
                if (auto floor = m_floors.extract(it.domain);
                    floor && floor.mapped().tier != AdmissionFloors::noFloor) {
                    m_peers.publish(makeFloorRumour(
                        it.domain, m_settings.instance, AdmissionFloors::noFloor, readMonotonicClock()));
                    m_peers.pushNews();
                }
            },
            [&](DeliverToThread& it) { m_deliver(it.thread, std::move(it.message)); },
        },
        action);
}

void ControlLoop::execute(const DomainId& domain, std::vector<DispatchAction> actions)
{
    auto now = readMonotonicClock();
    for (auto& action : actions) {
        std::visit(Overload {
                       [&](SendToEntry& it) {
                           logRefusal(domain, it, now);
                           for (auto& routed : m_router.handle(DispatcherOutput { domain, std::move(it) }, now)) {
                               m_work.push_back(std::move(routed));
                           }
                       },
                       [&](PublishFloor& it) { publishFloor(domain, it.floor); },
                       [&](RequestLimitChanged& it) { logRequestLimit(domain, it); },
                       [&](RejectionLimitChanged& it) { logRejectionLimit(domain, it); },
                       [&](ServerPaceChanged& it) { logPace(domain, it); },
                       [&](PublishQuarantine& it) {
                           logQuarantine(domain, it);
                           QuarantineReceived quarantine { it.fingerprint, it.remaining, std::move(it.companions) };
                           m_peers.publish(makeQuarantineRumour(quarantine, now));
                           m_router.handle(quarantine, now);
                       },
                   },
            action);
    }
}

void ControlLoop::publishFloor(const DomainId& domain, Tier tier)
{
    auto now = readMonotonicClock();
    auto it = m_floors.find(domain);
    if (it == m_floors.end() || it->second.tier != tier || now - it->second.at >= floorInterval) {
        m_floors[domain] = { tier, now };
        m_peers.publish(makeFloorRumour(domain, m_settings.instance, tier, now));
    }
}

void ControlLoop::scheduleWakeup()
{
    auto next = m_router.nextWakeup();
    for (const auto& [domain, dispatcher] : m_dispatchers) {
        if (auto wakeup = dispatcher.nextWakeup(); wakeup && (!next || *wakeup < *next)) {
            next = wakeup;
        }
    }
    if (!next) {
        m_timer.cancel();
        return;
    }
    m_timerDue = std::max(*next, readMonotonicClock());
    m_timer.expires_after(m_timerDue - readMonotonicClock());
    m_timer.async_wait([this](error_code ec) {
        if (!ec) {
            m_traffic.timerDelay = std::max(m_traffic.timerDelay, readMonotonicClock() - m_timerDue);
            fireTimers();
        }
    });
}

void ControlLoop::fireTimers()
{
    auto now = readMonotonicClock();
    for (auto& action : m_router.advance(now)) {
        m_work.push_back(std::move(action));
    }
    m_working = true;
    for (auto& [domain, dispatcher] : m_dispatchers) {
        execute(domain, dispatcher.advance(now));
    }
    m_working = false;
    drainWork();
    logDispatchers(now);
}

} // namespace lagoonspoke
