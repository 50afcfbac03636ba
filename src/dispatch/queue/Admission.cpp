#include "dispatch/queue/Admission.h"

#include <algorithm>

#include "dispatch/queue/RequestCost.h"

namespace lagoonspoke {

namespace {

// Sent as retryAfter when the time at which a server returns or the retry budget refills is unknown.
constexpr Duration defaultRetryAfter = std::chrono::seconds(1);

} // namespace

WaitingPtr Admission::makeWaiting(
    const InstanceId& entry, const DataCentreId& dataCentre, const PlaceRequest& place, MonotonicTime now) const
{
    auto waiting = std::make_unique<WaitingRequest>();
    waiting->entry = entry;
    waiting->dataCentre = dataCentre;
    waiting->place = place;
    waiting->queued = now;
    auto spec = m_state.classOf(place);
    waiting->target = now - place.waited + spec.firstTokenTarget;
    waiting->gapSensitive = spec.tokenGapTarget <= m_state.options.shortestGapTarget;
    waiting->deadline = now + place.remaining;
    if (!m_state.isPlainService) {
        waiting->predictedOutput = m_state.lengths.predict(place.team, place.className, place.outputLimit).count;
    }
    waiting->cost = requestCost(place.promptTokens, waiting->predictedOutput);
    // Predicted lengths are uncertain, so at most half of the remaining time is set aside for the service time.
    auto service = m_state.times.firstToken() + m_state.times.timePerOutputToken() * waiting->predictedOutput;
    waiting->latestStart = waiting->deadline - std::min(service, place.remaining / 2);
    if (spec.callerPatience > Duration(0)) {
        // A caller without a first token by the end of its patience disconnects, even before the deadline.
        auto disconnectTime = now - place.waited + spec.callerPatience;
        waiting->latestStart = std::min(waiting->latestStart, disconnectTime - m_state.times.firstToken());
    }
    return waiting;
}

void Admission::accept(
    const InstanceId& entry, const DataCentreId& dataCentre, const PlaceRequest& place, bool revoked, MonotonicTime now)
{
    auto waiting = makeWaiting(entry, dataCentre, place, now);
    m_state.shares.recordArrival(place.tier, now);
    if (!refuseIfInadmissible(*waiting, revoked, now)) {
        enqueue(std::move(waiting), now);
    }
}

void Admission::restore(
    const InstanceId& entry, const DataCentreId& dataCentre, const PlaceRequest& place, MonotonicTime now)
{
    auto waiting = makeWaiting(entry, dataCentre, place, now);
    m_state.shares.recordArrival(place.tier, now);
    if (auto remaining = m_state.remainingQuarantine(place, now)) {
        m_state.refuse(*waiting, RefusalCode::Quarantined, *remaining);
        return;
    }
    enqueue(std::move(waiting), now);
}

bool Admission::refuseIfInadmissible(const WaitingRequest& waiting, bool revoked, MonotonicTime now)
{
    const auto& place = waiting.place;
    if (auto remaining = m_state.remainingQuarantine(place, now)) {
        m_state.refuse(waiting, RefusalCode::Quarantined, *remaining);
        return true;
    }
    if (m_state.pool.isEmpty() && !m_state.isSettling(now)) {
        m_state.refuse(waiting, RefusalCode::NoServers, defaultRetryAfter);
        return true;
    }
    if (!m_state.pool.serves(place.softwareVersion) && !m_state.isSettling(now)) {
        m_state.refuse(waiting, RefusalCode::VersionGone, defaultRetryAfter);
        return true;
    }
    if (!m_state.pool.isEmpty() && m_state.selector.predictUnloaded(waiting) > place.remaining) {
        m_state.refuse(waiting, RefusalCode::DeadlineTooShort, Duration(0));
        return true;
    }
    if (revoked) {
        return false;
    }
    if (place.attempt > 1) {
        if (!m_state.retryBudget.take()) {
            ++m_state.counters.retriesRefused;
            m_state.refuse(waiting, RefusalCode::Overloaded, defaultRetryAfter);
            return true;
        }
        ++m_state.counters.retries;
        return false;
    }
    m_state.retryBudget.recordFresh();
    if (auto retryAfter = m_state.limiter.refuse(m_state.findTeam(place.team), waiting.cost, now)) {
        m_state.refuse(waiting, RefusalCode::TeamLimit, *retryAfter);
        return true;
    }
    return false;
}

void Admission::enqueue(WaitingPtr waiting, MonotonicTime now)
{
    m_state.limiter.enter(waiting->place.team);
    if (m_state.options.useQuarantine) {
        waiting->needsIsolation = m_state.quarantine.isSuspect(waiting->place.fingerprint, now);
        if (waiting->needsIsolation || m_state.hasSuspectPart(waiting->place, now)) {
            addSuspect(std::move(waiting));
            return;
        }
    }
    auto weight = m_state.weightOf(waiting->place.team);
    auto& queue = m_state.queueOf(waiting->place.tier);
    queue.add(std::move(waiting), weight);
}

void Admission::addSuspect(WaitingPtr waiting)
{
    auto position = std::ranges::find_if(
        m_state.suspects, [&](const auto& it) { return waiting->place.tier.isHigherThan(it->place.tier); });
    m_state.suspects.insert(position, std::move(waiting));
}

void Admission::applyFingerprintState(Fingerprint fingerprint, MonotonicTime now)
{
    auto hasFingerprint = [&](const WaitingRequest& it) { return it.place.fingerprint == fingerprint; };
    if (m_state.quarantine.remainingQuarantine(fingerprint, now)) {
        refuseQuarantined(hasFingerprint, now);
    } else if (m_state.quarantine.isSuspect(fingerprint, now)) {
        moveToSuspects(hasFingerprint, true);
    } else {
        for (auto& waiting : m_state.suspects) {
            waiting->needsIsolation &= !hasFingerprint(*waiting);
        }
        returnClearedSuspects(now);
    }
}

void Admission::applyPartState(const PartQuarantine::Parts& parts, MonotonicTime now)
{
    auto hasPart = [&](const WaitingRequest& it) {
        return std::ranges::any_of(
            parts, [&](Fingerprint part) { return std::ranges::count(it.place.parts, part) > 0; });
    };
    refuseQuarantined(hasPart, now);
    moveToSuspects(
        [&](const WaitingRequest& it) { return hasPart(it) && m_state.hasSuspectPart(it.place, now); }, false);
    returnClearedSuspects(now);
}

void Admission::refuseQuarantined(const TierQueue::WaitingPredicate& predicate, MonotonicTime now)
{
    std::vector<std::pair<RequestId, Duration>> requests;
    auto add = [&](const WaitingRequest& waiting) {
        auto remaining = predicate(waiting) ? m_state.remainingQuarantine(waiting.place, now) : std::nullopt;
        if (remaining) {
            requests.emplace_back(waiting.place.request, *remaining);
        }
        return false;
    };
    for (const auto& [tier, queue] : m_state.queues) {
        queue.requestsWhere(add);
    }
    for (const auto& waiting : m_state.suspects) {
        add(*waiting);
    }
    std::ranges::sort(requests);
    for (const auto& [request, remaining] : requests) {
        m_state.drop(request, RefusalCode::Quarantined, remaining);
    }
}

void Admission::moveToSuspects(const TierQueue::WaitingPredicate& predicate, bool needsIsolation)
{
    for (auto& [tier, queue] : m_state.queues) {
        for (const auto& request : queue.requestsWhere(predicate)) {
            addSuspect(queue.remove(request));
        }
    }
    for (auto& waiting : m_state.suspects) {
        if (predicate(*waiting)) {
            waiting->needsIsolation |= needsIsolation;
        }
    }
}

void Admission::returnClearedSuspects(MonotonicTime now)
{
    auto& suspects = m_state.suspects;
    for (auto it = suspects.begin(); it != suspects.end();) {
        if ((*it)->needsIsolation || m_state.hasSuspectPart((*it)->place, now)) {
            ++it;
            continue;
        }
        auto weight = m_state.weightOf((*it)->place.team);
        m_state.queueOf((*it)->place.tier).add(std::move(*it), weight);
        it = suspects.erase(it);
    }
}

} // namespace lagoonspoke
