#include "dispatch/queue/GrantScheduler.h"

#include <algorithm>

#include "dispatch/servers/ReadingCost.h"

namespace lagoonspoke {

namespace {

// Added to the grant expiry: the first progress report of a grant may be delayed, and a slot in use must not be freed.
constexpr Duration reportDelay = std::chrono::milliseconds(500);
// Slots become free at irregular times, so half of them are a safety margin.
constexpr double usableFreedFraction = 0.5;

} // namespace

void GrantScheduler::grantFreeSlots(MonotonicTime now)
{
    auto floor = m_state.floors.highest(now);
    m_state.pool.updateLimits(now);
    for (const auto& [tier, queue] : m_state.queues) {
        if (queue.size() > 0) {
            m_state.shares.recordWaiting(tier, now);
        }
    }
    if (!m_state.suspects.empty() || m_isolatesServers) {
        grantSuspects(floor, now);
    }
    if (std::ranges::all_of(m_state.queues, [](const auto& it) { return it.second.size() == 0; })) {
        return;
    }
    m_state.selector.beginSchedulerRun(fromSeconds(m_state.times.meanSlotSeconds()));
    ++m_schedulerRun;
    m_freeSlots = m_state.pool.freeSlots();
    m_totalSlots = m_state.pool.totalSlots();
    while (m_state.pool.hasAvailableServer(now)) {
        if (!grantGuaranteed(floor, now) && !grantByTier(floor, now)) {
            return;
        }
    }
}

void GrantScheduler::sendGrant(const GrantedRequest& granted)
{
    if (const auto* state = m_state.pool.find(granted.server)) {
        m_state.actions.emplace_back(SendToEntry { granted.entry,
            Grant { granted.place.request, granted.grant, granted.server, state->server.address,
                m_state.options.grantExpiry, state->server.softwareVersion } });
    }
}

void GrantScheduler::noteGrantId(GrantId grant)
{
    m_lastGrantId = std::max(m_lastGrantId, static_cast<std::uint64_t>(grant));
}

void GrantScheduler::grantSuspects(Tier floor, MonotonicTime now)
{
    m_state.selector.beginSchedulerRun(fromSeconds(m_state.times.meanSlotSeconds()));
    findSuspectsOnTrial(now);
    bool waitsForIsolation = false;
    auto& suspects = m_state.suspects;
    for (auto it = suspects.begin(); it != suspects.end();) {
        if (floor.isHigherThan((*it)->place.tier)) {
            waitsForIsolation |= (*it)->needsIsolation;
            ++it;
            continue;
        }
        auto* server = chooseForSuspect(**it, waitsForIsolation, now);
        if (!server) {
            ++it;
            continue;
        }
        auto waiting = std::move(*it);
        it = suspects.erase(it);
        addTrial(waiting->place, now);
        grant(std::move(waiting), *server, false, now);
    }
    m_isolatesServers = waitsForIsolation;
    if (!waitsForIsolation) {
        for (auto& [id, server] : m_state.pool.servers()) {
            server.isolated = server.runsSuspect;
        }
    }
}

ServerState* GrantScheduler::chooseForSuspect(const WaitingRequest& waiting, bool& waitsForIsolation, MonotonicTime now)
{
    if (m_onTrial.contains(waiting.place.fingerprint)) {
        return nullptr;
    }
    if (waiting.needsIsolation) {
        auto* server = waitsForIsolation ? nullptr : m_state.selector.chooseIsolated(waiting, now);
        waitsForIsolation = !server;
        if (server) {
            server->isolated = server->runsSuspect = true;
        }
        return server;
    }
    if (std::ranges::any_of(waiting.place.parts, [&](Fingerprint it) { return m_onTrial.contains(it); })) {
        return nullptr;
    }
    auto* server = m_state.selector.choose(waiting, now);
    if (!server) {
        // The next requests with these parts would not find one either.
        addTrial(waiting.place, now);
    }
    return server;
}

void GrantScheduler::addTrial(const PlaceRequest& place, MonotonicTime now)
{
    for (auto part : place.parts) {
        if (m_state.partQuarantine.isSuspect(part, now)) {
            m_onTrial.insert(part);
        }
    }
    if (m_state.quarantine.isSuspect(place.fingerprint, now)) {
        m_onTrial.insert(place.fingerprint);
    }
}

void GrantScheduler::findSuspectsOnTrial(MonotonicTime now)
{
    m_onTrial.clear();
    for (const auto& [request, granted] : m_state.grants.all()) {
        if (granted.holdsSlot && !granted.isAnswered(now)) {
            addTrial(granted.place, now);
        }
    }
}

bool GrantScheduler::grantGuaranteed(Tier floor, MonotonicTime now)
{
    for (auto& [tier, queue] : m_state.queues) {
        if (floor.isHigherThan(tier)) {
            return false;
        }
        if (tier == m_state.queues.begin()->first) {
            continue; // the highest tier needs no guarantee
        }
        auto averageCost = queue.size() ? queue.waitingCost() / static_cast<std::int64_t>(queue.size()) : 0;
        if (queue.size() && m_state.shares.hasCredit(tier, averageCost) && grantFrom(queue, true, now)) {
            return true;
        }
    }
    return false;
}

bool GrantScheduler::grantByTier(Tier floor, MonotonicTime now)
{
    for (auto& [tier, queue] : m_state.queues) {
        if (floor.isHigherThan(tier)) {
            return false;
        }
        if (!queue.size()) {
            continue;
        }
        int reserve = reservedSlots(tier, now);
        if (reserve > 0 && m_freeSlots <= reserve) {
            return false;
        }
        if (grantFrom(queue, false, now)) {
            return true;
        }
    }
    return false;
}

int GrantScheduler::reservedSlots(Tier tier, MonotonicTime now)
{
    if (!m_state.options.useReserve) {
        return 0;
    }
    double largest = m_state.options.largestReserve;
    const auto* tiers = m_state.snapshot ? &m_state.snapshot->configuration().tiers : nullptr;
    bool isHighest = !tiers || tiers->empty() || !tiers->begin()->first.isHigherThan(tier);
    // A new dispatcher has no measurements yet. Without a reserve, the first entry to send its state could fill every
    // slot with work of lower tiers.
    if (m_state.isSettling(now) && !isHighest) {
        return static_cast<int>(largest * m_totalSlots);
    }
    auto reserve = m_state.shares.reservedSlots(tier, m_totalSlots, largest, now);
    if (!m_state.pool.hasPromptEngines()) {
        return reserve;
    }
    // Model engines with known prompts answer in a second or two, and admit urgent requests first. Slots that become
    // free by themselves go to the highest tier that waits, so they serve its burst as well.
    double freed = (m_totalSlots - m_freeSlots) / m_state.times.meanSlotSeconds() * toSeconds(ArrivalMeter::interval);
    return std::max(0, reserve - static_cast<int>(usableFreedFraction * freed));
}

bool GrantScheduler::grantFrom(TierQueue& queue, bool guaranteed, MonotonicTime now)
{
    // The selector's choice for a request depends on the requests examined before it, so it is called once for each
    // request and the result is stored.
    absl::flat_hash_map<const WaitingRequest*, ServerState*> servers;
    const auto* picked = queue.pick(now, m_state.times.firstToken(), [&](const WaitingRequest& it) {
        // Servers only get busier during a run, so a request that found no server is skipped.
        if (it.rejectedRun == m_schedulerRun) {
            return false;
        }
        auto* server = m_state.selector.choose(it, now);
        if (!server) {
            it.rejectedRun = m_schedulerRun;
        }
        servers[&it] = server;
        return server != nullptr;
    });
    if (!picked) {
        return false;
    }
    grant(queue.remove(picked->place.request), *servers.at(picked), guaranteed, now);
    return true;
}

void GrantScheduler::grant(WaitingPtr waiting, ServerState& server, bool guaranteed, MonotonicTime now)
{
    // Ids start from the clock to exceed those of an earlier dispatcher in this process, whose progress reports may
    // still arrive.
    m_lastGrantId
        = std::max<std::uint64_t>(m_lastGrantId, static_cast<std::uint64_t>(now.time_since_epoch().count())) + 1;
    GrantedRequest granted;
    granted.entry = waiting->entry;
    granted.dataCentre = waiting->dataCentre;
    granted.place = std::move(waiting->place);
    granted.grant = GrantId(m_lastGrantId);
    granted.server = server.server.id;
    granted.grantedAt = granted.lastProgress = now;
    granted.charged = waiting->cost;
    granted.promptWork = promptWork(m_state.selector.uncachedTokens(server, granted.place));
    granted.queuedPromptWork = server.pendingWork;
    auto reading = fromSeconds(granted.promptWork * server.secondsPerPromptToken());
    m_state.load.recordReading(reading, now);
    m_state.times.recordPromptWork(granted.place.className, granted.place.tier, granted.promptWork);
    granted.inFlightAtGrant = server.inFlight;
    granted.guaranteed = guaranteed;
    granted.runsIsolated = server.runsSuspect;
    granted.gapSensitive = waiting->gapSensitive;
    server.gapSensitive += waiting->gapSensitive ? 1 : 0;
    if (!granted.place.prefixTokens.empty()) {
        auto work = server.pendingWork + granted.promptWork;
        server.cache.startReading(granted.place, now + 2 * fromSeconds(work * server.secondsPerPromptToken()));
    }
    if (server.health.isEjected()) {
        server.health.startProbe();
    }
    if (server.slow) {
        server.lastSlowTrial = now;
    }
    ++server.inFlight;
    server.limit.recordGrant(now);
    server.coldLimit.recordGrant(now);
    server.rejections.recordGrant(now);
    server.limitReached = !server.isWithinLimits(now);
    --m_freeSlots;
    server.addAwaitingFirstByte(now, granted.promptWork);
    m_state.selector.recordGrant(server, reading, granted.gapSensitive, now);
    auto tier = granted.place.tier;
    m_state.queueOf(tier).charge(granted.place.team, m_state.weightOf(granted.place.team), waiting->cost);
    m_state.shares.recordGranted(waiting->cost, now);
    m_state.shares.spend(tier, waiting->cost, guaranteed);
    ++m_state.counters.grants;
    ++m_state.counters.grantsByTier[tier];
    if (guaranteed) {
        ++m_state.counters.guaranteedGrants;
        ++m_state.counters.guaranteedGrantsByTier[tier];
    }
    sendGrant(m_state.grants.add(std::move(granted), now + m_state.options.grantExpiry + reportDelay));
}

} // namespace lagoonspoke
