#include "dispatch/queue/PolicyDispatcher.h"

#include <algorithm>

#include "lagoonspoke/core/Overload.h"

namespace lagoonspoke {

namespace {

// While requests wait, deadlines, floors and rates are checked at this interval.
constexpr Duration pollInterval = std::chrono::milliseconds(50);
// Up to this many waiting requests, the scheduler runs after every event. With more, a run costs too much for the few
// events that it handles; runs for engines with known prompts are then schedulerInterval apart.
constexpr std::size_t maxShortQueue = 16;
constexpr Duration schedulerInterval = std::chrono::milliseconds(4);
// Measured rates change over seconds.
constexpr Duration rateUpdateInterval = std::chrono::milliseconds(100);
// If a tier's oldest request has waited longer than this, the domain admits no lower tier. A shorter wait may be for
// the engine that has the prompt in its cache, not for capacity.
constexpr Duration floorBacklogWait = std::chrono::milliseconds(500);
// Time that an engine with chunked prefill spends on one chunk between two tokens of running requests: chunks of 4,096
// tokens, the default of common engines, at 40,000 tokens per second.
constexpr Duration chunkPrefillTime = std::chrono::milliseconds(100);

// The shortest token gap target of the classes that the deployment streams, if prefill of long prompts can delay an
// engine's event that long; zero otherwise.
Duration sensitiveGapTarget(const Configuration& configuration, const DeploymentSpec& deployment)
{
    Duration shortest = Duration::max();
    for (const auto& [name, route] : configuration.routes) {
        bool serves = route.service == deployment.name
            || std::ranges::count(route.split, deployment.name, &TargetShare::target) > 0;
        if (route.streamed && serves) {
            shortest = std::min(shortest, configuration.classes.at(route.className).tokenGapTarget);
        }
    }
    auto maxEventDelay = deployment.tokensPerEvent * chunkPrefillTime;
    return shortest <= maxEventDelay ? shortest : Duration(0);
}

} // namespace

PolicyDispatcher::PolicyDispatcher(const DomainId& domain, const DispatchOptions& options)
    : m_target(domain.value().substr(domain.value().find('/') + 1))
    , m_state(options)
    , m_admission(m_state)
    , m_scheduler(m_state)
    , m_preemptor(m_state)
    , m_shedder(m_state)
    , m_tracker(m_state, m_admission, m_scheduler, m_preemptor)
{
}

std::vector<DispatchAction> PolicyDispatcher::handle(const DispatchEvent& event, MonotonicTime now)
{
    recordTime(now);
    std::visit(
        Overload {
            [&](const EntryMessageReceived& received) { accept(received, now); },
            [&](const EntryLost& lost) { loseEntry(lost.entry, now); },
            [&](const ServersChanged& changed) { replaceServers(changed.servers, now); },
            [&](const ConfigurationChanged& changed) {
                m_state.snapshot = changed.snapshot;
                if (m_state.snapshot) {
                    configure(m_state.snapshot->configuration());
                }
            },
            [&](const LoadReported& report) { applyReport(report, now); },
            [&](const CacheEventsReported& events) { applyCacheEvents(events); },
            [&](const QuarantineReceived& peerQuarantine) {
                m_state.quarantine.receive(peerQuarantine.fingerprint, peerQuarantine.remaining, now);
                m_admission.applyFingerprintState(peerQuarantine.fingerprint, now);
                m_state.partQuarantine.receive(
                    peerQuarantine.fingerprint, peerQuarantine.companions, peerQuarantine.remaining, now);
                m_admission.applyPartState({ peerQuarantine.fingerprint }, now);
            },
            [&](const FloorReceived& peerFloor) { m_state.floors.receive(peerFloor.from, peerFloor.floor, now); },
            [&](const ConnectedShareChanged& changed) { m_state.pool.setConnectedShare(changed.share); },
        },
        event);
    return advance(now);
}

std::vector<DispatchAction> PolicyDispatcher::advance(MonotonicTime now)
{
    recordTime(now);
    if (now >= m_lastRateUpdate + rateUpdateInterval) {
        m_state.pool.updateRates(m_state.times.meanSlotSeconds());
        m_lastRateUpdate = now;
        m_tracker.clearAnsweredParts(now);
    }
    m_tracker.expire(now);
    m_shedder.dropExpired(now);
    refuseWithoutServers(now);
    bool runs = now >= m_lastSchedulerRun + m_schedulerInterval || waitingCount() <= maxShortQueue;
    if (runs) {
        m_lastSchedulerRun = now;
        m_scheduler.grantFreeSlots(now);
    }
    m_shedder.run(now);
    // Looks at all servers for each tier that waits, as the scheduler does.
    if (runs && m_state.options.usePreemption) {
        m_preemptor.preemptForHigherTiers(now);
    }
    publishFloor(now);
    recordLoad(now);
    for (auto& change : m_state.pool.takePaceChanges()) {
        m_state.actions.emplace_back(ServerPaceChanged { std::move(change.server), change.begun });
    }
    return std::exchange(m_state.actions, {});
}

std::size_t PolicyDispatcher::waitingCount() const
{
    std::size_t waiting = m_state.suspects.size();
    for (const auto& [tier, queue] : m_state.queues) {
        waiting += queue.size();
    }
    return waiting;
}

void PolicyDispatcher::recordLoad(MonotonicTime now)
{
    m_state.load.recordRequests(m_state.grants.all().size() + waitingCount(), now);
}

std::optional<MonotonicTime> PolicyDispatcher::nextWakeup() const
{
    bool waiting = !m_state.suspects.empty()
        || std::ranges::any_of(m_state.queues, [](const auto& it) { return it.second.size() > 0; });
    std::optional<MonotonicTime> next;
    auto consider
        = [&](const std::optional<MonotonicTime>& time) { next = time && (!next || *time < *next) ? time : next; };
    if (waiting) {
        consider(m_lastAdvance + pollInterval);
        // A scheduler run was postponed.
        if (m_lastSchedulerRun < m_lastAdvance) {
            consider(m_lastSchedulerRun + m_schedulerInterval);
        }
    }
    consider(m_state.grants.nextExpiry());
    consider(m_state.floors.nextPublish());
    return next;
}

void PolicyDispatcher::configure(const Configuration& configuration)
{
    m_state.shares.configure(configuration.tiers);
    m_state.isPlainService = configuration.services.contains(m_target);
    if (auto it = configuration.deployments.find(m_target); it != configuration.deployments.end()) {
        m_state.pool.setCacheCapacity(it->second.memoryPerServer);
        m_schedulerInterval = it->second.memoryPerServer.count > 0 ? schedulerInterval : Duration(0);
        m_state.options.shortestGapTarget = sensitiveGapTarget(configuration, it->second);
        m_state.options.tokensPerEvent = it->second.tokensPerEvent;
    }
}

void PolicyDispatcher::recordTime(MonotonicTime now)
{
    if (!m_started) {
        m_started = true;
        m_state.startedAt = now;
    }
    m_lastAdvance = now;
}

void PolicyDispatcher::accept(const EntryMessageReceived& received, MonotonicTime now)
{
    std::visit(Overload {
                   [&](const PlaceRequest& it) { place(received.entry, received.dataCentre, it, now); },
                   [&](const Progress& it) { m_tracker.apply(it, now); },
                   [&](const Withdraw& it) { withdraw(it.request, now); },
                   [&](const Resync& it) { resync(received.dataCentre, it, now); },
               },
        received.message);
}

void PolicyDispatcher::place(
    const InstanceId& entry, const DataCentreId& dataCentre, const PlaceRequest& place, MonotonicTime now)
{
    if (m_state.isWaiting(place.request)) {
        return;
    }
    m_hasBoundRequests = m_hasBoundRequests || place.softwareVersion;
    bool revoked = m_tracker.consumeRevocation(place.request, now);
    if (const auto* granted = m_state.grants.find(place.request)) {
        if (!granted->revoked && granted->holdsSlot && place.attempt <= granted->place.attempt) {
            m_scheduler.sendGrant(*granted);
            return;
        }
        revoked = m_tracker.endWithoutOutcome(place.request, now) || revoked;
    }
    m_admission.accept(entry, dataCentre, place, revoked, now);
    m_shedder.enforceQueueLimit(place.tier, place.className, now);
}

void PolicyDispatcher::withdraw(const RequestId& request, MonotonicTime now)
{
    if (auto waiting = m_state.removeWaiting(request)) {
        m_state.limiter.leave(waiting->place.team);
        m_state.limiter.adjustTokens(waiting->place.team, -waiting->cost, now);
        return;
    }
    // The grant and the withdrawal were in flight at the same time: the entry does not use the grant.
    if (const auto* granted = m_state.grants.find(request); granted && !granted->started) {
        m_tracker.endWithoutOutcome(request, now);
    }
}

void PolicyDispatcher::resync(const DataCentreId& dataCentre, const Resync& resync, MonotonicTime now)
{
    restorePromptCaches(resync.parts, now);
    for (const auto& known : resync.limits) {
        auto* server = m_state.pool.find(known.server);
        if (server && server->limit.recordReport(known.limit, now - known.age, now)) {
            m_state.actions.emplace_back(RequestLimitChanged { known.server, known.limit, {}, resync.entry });
        }
    }
    for (const auto& known : resync.rejectionLimits) {
        auto* server = m_state.pool.find(known.server);
        if (server && server->rejections.recordReport(known.limit, now - known.age)) {
            m_state.actions.emplace_back(RejectionLimitChanged { known.server, known.limit, {}, resync.entry });
        }
    }
    for (const auto& held : resync.held) {
        m_tracker.restore(resync.entry, dataCentre, held, now);
    }
    for (const auto& place : resync.waiting) {
        if (m_state.isWaiting(place.request)) {
            continue;
        }
        if (const auto* granted = m_state.grants.find(place.request)) {
            m_scheduler.sendGrant(*granted);
            continue;
        }
        m_hasBoundRequests = m_hasBoundRequests || place.softwareVersion;
        m_admission.restore(resync.entry, dataCentre, place, now);
    }
}

void PolicyDispatcher::restorePromptCaches(const std::vector<ReadPart>& parts, MonotonicTime now)
{
    for (const auto& part : parts) {
        auto* server = m_state.pool.find(part.server);
        if (!server || part.prefix.size() != part.prefixTokens.size()) {
            continue;
        }
        PlaceRequest place;
        place.prefix = part.prefix;
        place.prefixTokens = part.prefixTokens;
        server->cache.startReading(place, now);
    }
}

void PolicyDispatcher::loseEntry(const InstanceId& entry, MonotonicTime now)
{
    auto ofEntry = [&](const auto& it) { return it.entry == entry; };
    std::vector<RequestId> waiting;
    for (const auto& [tier, queue] : m_state.queues) {
        std::ranges::copy(queue.requestsWhere(ofEntry), std::back_inserter(waiting));
    }
    for (const auto& it : m_state.suspects) {
        if (it->entry == entry) {
            waiting.push_back(it->place.request);
        }
    }
    for (const auto& request : waiting) {
        withdraw(request, now);
    }
    for (const auto& request : m_state.grants.requestsWhere(ofEntry)) {
        m_tracker.endWithoutOutcome(request, now);
    }
}

void PolicyDispatcher::replaceServers(const std::vector<BackendServer>& servers, MonotonicTime now)
{
    m_state.pool.replace(servers, now);
    m_state.pool.updateLimits(now);
    m_state.pool.updateRates(m_state.times.meanSlotSeconds());
    m_tracker.recountSlots();
    m_tracker.revokeOnClosedServers();
}

void PolicyDispatcher::applyReport(const LoadReported& report, MonotonicTime now)
{
    if (auto* server = m_state.pool.find(report.server)) {
        server->recordLoadReport(report.running, report.tokensPerSecond, report.age, now);
    }
}

void PolicyDispatcher::applyCacheEvents(const CacheEventsReported& events)
{
    auto* server = m_state.pool.find(events.server);
    if (!server || !m_state.options.usePrefixIndex) {
        return;
    }
    server->prefix.startBatch(events.firstSequence);
    for (const auto& change : events.changes) {
        server->prefix.apply(change.block, change.stored);
    }
}

void PolicyDispatcher::refuseWithoutServers(MonotonicTime now)
{
    bool empty = m_state.pool.isEmpty();
    if ((!empty && !m_hasBoundRequests) || m_state.isSettling(now)) {
        return;
    }
    m_hasBoundRequests = false;
    for (auto& [tier, queue] : m_state.queues) {
        auto isUnserved = [&](const WaitingRequest& it) {
            m_hasBoundRequests = m_hasBoundRequests || it.place.softwareVersion;
            return empty || !m_state.pool.serves(it.place.softwareVersion);
        };
        for (const auto& request : queue.requestsWhere(isUnserved)) {
            m_state.drop(request, empty ? RefusalCode::NoServers : RefusalCode::VersionGone, std::chrono::seconds(1));
        }
    }
}

Tier PolicyDispatcher::ownFloor(MonotonicTime now) const
{
    for (const auto& [tier, queue] : m_state.queues) {
        if (queue.size() > 0 && now - queue.oldestArrival() > floorBacklogWait) {
            return tier;
        }
    }
    return AdmissionFloors::noFloor;
}

void PolicyDispatcher::publishFloor(MonotonicTime now)
{
    // A tier that waits only because of another dispatcher's floor is no sign that this dispatcher lacks capacity.
    auto own = ownFloor(now);
    if (m_state.floors.highest(now).isHigherThan(own)) {
        own = AdmissionFloors::noFloor;
    }
    if (auto floor = m_state.floors.publish(own, now)) {
        m_state.actions.emplace_back(PublishFloor { *floor });
    }
}

DispatchLoad PolicyDispatcher::load() const
{
    DispatchLoad load;
    for (const auto& [request, granted] : m_state.grants.all()) {
        ++load.requestsByTier[granted.place.tier];
        ++load.grantsByServer[granted.server];
    }
    for (const auto& [tier, queue] : m_state.queues) {
        load.requestsByTier[tier] += static_cast<int>(queue.size());
    }
    load.meanRequests = m_state.load.requests();
    load.readingServers = m_state.load.readingServers();
    return load;
}

DispatchSummary PolicyDispatcher::summarize() const
{
    DispatchSummary summary;
    for (const auto& [tier, queue] : m_state.queues) {
        summary.waiting[tier] = queue.size();
        summary.waitingCost += queue.waitingCost();
    }
    summary.grants = m_state.counters.grantsByTier;
    summary.guaranteedGrants = m_state.counters.guaranteedGrantsByTier;
    summary.suspects = m_state.suspects.size();
    double secondsToRead = 0;
    for (const auto& [id, state] : m_state.pool.servers()) {
        ++summary.servers;
        summary.leavingServers += state.server.leaving ? 1 : 0;
        summary.evacuatedServers += state.server.evacuated ? 1 : 0;
        summary.ejectedServers += state.health.isEjected() ? 1 : 0;
        summary.limitedServers += state.limit.rate() ? 1 : 0;
        summary.pacedServers += state.pace.isPaced() ? 1 : 0;
        summary.coldServers += state.isCold(m_lastAdvance) ? 1 : 0;
        summary.isolatedServers += state.isolated ? 1 : 0;
        summary.busySlots += state.inFlight;
        summary.serversWithUnreadPrompts += state.pendingWork > 0 ? 1 : 0;
        secondsToRead += state.pendingWork * state.secondsPerPromptToken();
    }
    summary.meanTimeToRead = fromSeconds(secondsToRead / std::max(1, summary.servers));
    return summary;
}

} // namespace lagoonspoke
