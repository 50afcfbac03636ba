#include "dispatch/queue/GrantTracker.h"

#include <algorithm>

#include "dispatch/queue/RequestCost.h"

namespace lagoonspoke {

namespace {

// An entry places a revoked request again at once; a later attempt is an ordinary retry.
constexpr Duration revocationRetention = std::chrono::seconds(5);
// For this time after its expiry, a late progress report can still show that a grant is in use.
constexpr Duration expiredGrantRetention = std::chrono::seconds(60);

} // namespace

GrantTracker::GrantTracker(DispatchState& state, Admission& admission, GrantScheduler& scheduler, Preemptor& preemptor)
    : m_state(state)
    , m_admission(admission)
    , m_scheduler(scheduler)
    , m_preemptor(preemptor)
{
}

void GrantTracker::apply(const Progress& progress, MonotonicTime now)
{
    auto* granted = m_state.grants.find(progress.request);
    // A report of an earlier attempt must not end the current one.
    if (!granted || granted->grant != progress.grant) {
        return;
    }
    if (!progress.finished || progress.outcome == FinishOutcome::Completed) {
        m_deaths.refute(*granted, now);
    }
    observe(*granted, progress, now);
    if (progress.finished) {
        finish(progress, now);
    }
}

void GrantTracker::observe(GrantedRequest& granted, const Progress& progress, MonotonicTime now)
{
    m_state.grants.markStarted(granted);
    if (!granted.answerBeganAt && (progress.firstByteSeen || progress.outputTokens.count > 0)) {
        granted.answerBeganAt = now;
    }
    auto* server = m_state.pool.find(granted.server);
    if (server && progress.limitSeen && server->limit.recordAnswer(progress.limit, granted.grantedAt, now)) {
        m_state.actions.emplace_back(
            RequestLimitChanged { granted.server, progress.limit, granted.place.request, granted.entry });
    }
    if (server && progress.limitSeen
        && server->rejections.recordAnswer(progress.rejectionLimit, granted.grantedAt, now)) {
        m_state.actions.emplace_back(
            RejectionLimitChanged { granted.server, progress.rejectionLimit, granted.place.request, granted.entry });
    }
    if (!granted.holdsSlot && !progress.finished) {
        // The grant expired because its first report was late, but it is in use.
        granted.holdsSlot = true;
        granted.firstByteSeen = true;
        if (server) {
            ++server->inFlight;
            server->gapSensitive += granted.gapSensitive ? 1 : 0;
        }
    }
    if (progress.firstByteSeen && !granted.firstByteSeen) {
        granted.firstByteSeen = true;
        m_state.times.recordFirstToken(progress.timeToFirstByte);
        if (server) {
            server->recordFirstByte(
                progress.timeToFirstByte, granted.promptWork + granted.queuedPromptWork, granted.inFlightAtGrant, now);
            m_state.pool.recordSuccess(*server, now);
            m_state.pool.recordPace(*server, progress.timeToFirstByte, granted.promptWork + granted.queuedPromptWork,
                granted.inFlightAtGrant, granted.grantedAt, now);
            server->removeAwaitingFirstByte(granted.grantedAt, granted.promptWork);
            server->cache.finishReading(granted.place);
        }
        granted.lastProgress = now;
        granted.outputTokens = std::max(granted.outputTokens, progress.outputTokens.count);
        return;
    }
    auto tokens = progress.outputTokens.count - granted.outputTokens;
    if (tokens <= 0) {
        return;
    }
    if (server) {
        server->recordTokens(tokens, now - granted.lastProgress, now);
    }
    granted.lastProgress = now;
    granted.outputTokens = progress.outputTokens.count;
    // Tokens beyond the prediction are charged as they arrive.
    if (auto actual = requestCost(granted.place.promptTokens, granted.outputTokens); actual > granted.charged) {
        charge(granted, actual - granted.charged, now);
    }
}

void GrantTracker::charge(GrantedRequest& granted, std::int64_t tokens, MonotonicTime now)
{
    const auto& team = granted.place.team;
    granted.charged += tokens;
    m_state.queueOf(granted.place.tier).charge(team, m_state.weightOf(team), tokens);
    m_state.limiter.adjustTokens(team, tokens, now);
    if (tokens > 0) {
        m_state.shares.recordGranted(tokens, now);
    }
    m_state.shares.spend(granted.place.tier, tokens, granted.guaranteed);
}

void GrantTracker::finish(const Progress& progress, MonotonicTime now)
{
    auto granted = m_state.grants.remove(progress.request);
    if (granted->revoked) {
        m_revoked[progress.request] = now + revocationRetention;
    }
    settleCharge(*granted, progress, now);
    release(*granted);
    recordOutcome(*granted, progress.outcome, now);
}

void GrantTracker::settleCharge(const GrantedRequest& granted, const Progress& progress, MonotonicTime now)
{
    auto prompt = progress.promptTokens.count > 0 ? progress.promptTokens : granted.place.promptTokens;
    auto output = std::max(granted.outputTokens, progress.outputTokens.count);
    auto copy = granted;
    charge(copy, requestCost(prompt, output) - granted.charged, now);
    if (progress.outcome == FinishOutcome::Completed) {
        m_state.lengths.record(granted.place.team, granted.place.className, Tokens { output });
        const auto* server = m_state.pool.find(granted.server);
        // Slots of slow servers do not count as capacity, so their hold times are not recorded either.
        if (!server || !server->slow) {
            m_state.times.recordSlotTime(
                granted.place.className, granted.place.tier, now - granted.grantedAt, Tokens { output });
        }
    }
}

void GrantTracker::recordOutcome(const GrantedRequest& granted, FinishOutcome outcome, MonotonicTime now)
{
    auto* server = m_state.pool.find(granted.server);
    switch (outcome) {
    case FinishOutcome::Completed:
        if (m_state.quarantine.recordFinished(granted.place.fingerprint, now)) {
            m_admission.applyFingerprintState(granted.place.fingerprint, now);
        }
        recordPartsAnswered(granted, now);
        if (server) {
            m_state.pool.recordSuccess(*server, now);
        }
        break;
    case FinishOutcome::ServerFailed:
        if (server) {
            m_state.pool.recordFailure(*server, false, now);
        }
        break;
    case FinishOutcome::ServerDied:
        if (server) {
            recordDeath(granted, *server, now);
        }
        break;
    case FinishOutcome::Disconnected:
        if (server) {
            recordDisconnection(granted, *server, now);
        }
        break;
    case FinishOutcome::Declined:
        if (server) {
            server->recordDeclined(now);
        }
        break;
    case FinishOutcome::CallerLeft:
    case FinishOutcome::Aborted:
        break;
    }
}

void GrantTracker::recordDisconnection(const GrantedRequest& granted, ServerState& server, MonotonicTime now)
{
    // Requests that break together count once. The server may serve others, so its cache is kept.
    auto lastFailure = std::max(server.diedAt, server.disconnectedAt);
    if (!lastFailure || granted.grantedAt > *lastFailure) {
        server.disconnectedAt = now;
        m_state.pool.recordFailure(server, true, now);
    }
}

void GrantTracker::recordDeath(const GrantedRequest& granted, ServerState& server, MonotonicTime now)
{
    // Each request on the server reports the same death. Only a request granted after the recorded death can report a
    // new one.
    bool newDeath = !server.diedAt || granted.grantedAt > *server.diedAt;
    if (newDeath) {
        server.diedAt = now;
        server.runningAtDeath = server.inFlight;
        server.prefix = {};
        server.cache.clear();
        m_state.pool.recordFailure(server, true, now);
    }
    // A server that is leaving, or whose eviction was announced, aborts its requests itself: they are not at fault.
    if (!m_state.options.useQuarantine || server.server.leaving) {
        return;
    }
    recordPartsOfDead(granted, newDeath, now);
    auto fingerprint = granted.place.fingerprint;
    if (fingerprint == Fingerprint {}) {
        return;
    }
    if (m_state.quarantine.recordDeath(fingerprint, server.runningAtDeath, granted.grantedAt, now)) {
        ++m_state.counters.quarantined;
        auto remaining = m_state.quarantine.remainingQuarantine(fingerprint, now);
        m_state.actions.emplace_back(PublishQuarantine { fingerprint, *remaining });
    }
    m_admission.applyFingerprintState(fingerprint, now);
}

void GrantTracker::recordPartsOfDead(const GrantedRequest& granted, bool newDeath, MonotonicTime now)
{
    if (newDeath) {
        int others = 0;
        int unanswered = granted.answerBeganAt ? 0 : 1;
        for (const auto& [request, other] : m_state.grants.all()) {
            if (other.server == granted.server && other.started && other.holdsSlot) {
                ++others;
                unanswered += other.answerBeganAt ? 0 : 1;
            }
        }
        m_deaths.begin(granted.server, others, unanswered, now);
    }
    for (const auto& dead : m_deaths.add(granted, now)) {
        for (auto part : m_state.partQuarantine.recordDeath(dead, now)) {
            ++m_state.counters.quarantined;
            publishPartQuarantine(part, now);
        }
        m_admission.applyPartState(dead.parts, now);
    }
}

void GrantTracker::recordPartsAnswered(const GrantedRequest& granted, MonotonicTime now)
{
    auto changed = m_state.partQuarantine.recordAnswered(granted.place.parts, granted.answerBeganAt.value_or(now), now);
    if (changed.empty()) {
        return;
    }
    for (auto part : changed) {
        publishPartQuarantine(part, now);
    }
    m_admission.applyPartState(changed, now);
}

void GrantTracker::publishPartQuarantine(Fingerprint part, MonotonicTime now)
{
    auto companions = m_state.partQuarantine.companionsOf(part);
    auto parts = companions;
    parts.push_back(part);
    if (auto remaining = m_state.partQuarantine.remainingQuarantine(parts, now)) {
        m_state.actions.emplace_back(PublishQuarantine { part, *remaining, std::move(companions) });
    }
}

void GrantTracker::clearAnsweredParts(MonotonicTime now)
{
    if (!m_state.partQuarantine.hasSuspects(now)) {
        return;
    }
    for (const auto& [request, granted] : m_state.grants.all()) {
        if (granted.isAnswered(now)) {
            recordPartsAnswered(granted, now);
        }
    }
}

void GrantTracker::release(const GrantedRequest& granted)
{
    m_state.freeSlot(granted);
    m_state.limiter.leave(granted.place.team);
    if (granted.preempted) {
        m_preemptor.notePreemptionFinished();
    }
}

void GrantTracker::restore(
    const InstanceId& entry, const DataCentreId& dataCentre, const HeldGrant& held, MonotonicTime now)
{
    m_scheduler.noteGrantId(held.grant);
    if (m_state.grants.find(held.request.request)) {
        return;
    }
    if (auto waiting = m_state.removeWaiting(held.request.request)) {
        m_state.limiter.leave(waiting->place.team);
    }
    auto waiting = m_admission.makeWaiting(entry, dataCentre, held.request, now);
    GrantedRequest granted;
    granted.entry = entry;
    granted.dataCentre = dataCentre;
    granted.place = held.request;
    granted.grant = held.grant;
    granted.server = held.server;
    granted.grantedAt = granted.lastProgress = now;
    granted.charged = waiting->cost;
    granted.outputTokens = held.outputTokens.count;
    granted.started = true;
    // The time of the first byte is unknown, so it must not enter the server's measurements.
    granted.firstByteSeen = true;
    if (held.outputTokens.count > 0) {
        granted.answerBeganAt = now;
    }
    m_state.limiter.enter(held.request.team);
    m_state.shares.recordArrival(held.request.tier, now);
    if (auto* server = m_state.pool.find(held.server)) {
        granted.inFlightAtGrant = server->inFlight++;
        granted.gapSensitive = waiting->gapSensitive;
        server->gapSensitive += granted.gapSensitive ? 1 : 0;
        if (!granted.place.prefixTokens.empty()) {
            server->cache.startReading(granted.place, now);
        }
    }
    m_state.grants.add(std::move(granted), now);
}

bool GrantTracker::endWithoutOutcome(const RequestId& request, MonotonicTime now)
{
    auto granted = m_state.grants.remove(request);
    if (!granted) {
        return false;
    }
    charge(*granted, requestCost(granted->place.promptTokens, granted->outputTokens) - granted->charged, now);
    release(*granted);
    return granted->revoked;
}

void GrantTracker::expire(MonotonicTime now)
{
    m_deaths.removeExpired(now);
    for (const auto& request : m_state.grants.expired(now)) {
        auto* granted = m_state.grants.find(request);
        if (!granted->holdsSlot) {
            endWithoutOutcome(request, now);
            continue;
        }
        ++m_state.counters.expiredGrants;
        m_state.freeSlot(*granted);
        granted->holdsSlot = false;
        m_state.grants.restartExpiry(request, now + expiredGrantRetention);
    }
}

void GrantTracker::revokeOnClosedServers()
{
    auto requests = m_state.grants.requestsWhere([&](const GrantedRequest& it) {
        const auto* server = m_state.pool.find(it.server);
        return !it.started && !it.revoked && (!server || !server->server.isOpen());
    });
    for (const auto& request : requests) {
        auto& granted = *m_state.grants.find(request);
        granted.revoked = true;
        m_state.actions.emplace_back(
            SendToEntry { granted.entry, Revoke { request, granted.grant, RevokeReason::ServerLeaving } });
    }
}

void GrantTracker::recountSlots()
{
    for (auto& [id, server] : m_state.pool.servers()) {
        server.inFlight = 0;
        server.gapSensitive = 0;
    }
    for (const auto& [request, granted] : m_state.grants.all()) {
        if (auto* server = m_state.pool.find(granted.server); server && granted.holdsSlot) {
            ++server->inFlight;
            server->gapSensitive += granted.gapSensitive ? 1 : 0;
        }
    }
}

bool GrantTracker::consumeRevocation(const RequestId& request, MonotonicTime now)
{
    absl::erase_if(m_revoked, [&](const auto& it) { return it.second <= now; });
    return m_revoked.erase(request) > 0;
}

} // namespace lagoonspoke
