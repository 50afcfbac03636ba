// The part of PlacementRouter that manages the requests of this instance's callers.
#include "dispatch/routing/PlacementRouter.h"

#include <algorithm>

namespace lagoonspoke {

namespace {

// Set in the numbers of local grants, so that they never equal a dispatcher's.
constexpr std::uint64_t localGrantBit = 1ULL << 63;
// Limit of the chains of prompt parts that an entry remembers for one domain. Each takes about 60 bytes in a message.
constexpr std::size_t maxRememberedParts = 512;
// Of the time until a server takes requests again, the share over which refused callers come back after it.
constexpr double retrySpread = 0.5;

} // namespace

void PlacementRouter::scheduleResync(Domain& domain, MonotonicTime at)
{
    domain.resyncAt = domain.resyncAt ? std::min(*domain.resyncAt, at) : at;
}

// After a refusal the instances' membership views differ; after a broken link the peer may be gone. Both take a moment
// to resolve, so the resync is delayed with exponential backoff.
void PlacementRouter::delayResync(Domain& domain, MonotonicTime now)
{
    domain.resyncDelay = std::clamp(domain.resyncDelay * 2, m_options.initialResyncDelay, m_options.maxResyncDelay);
    scheduleResync(domain, now + domain.resyncDelay);
    // Until the resync, no waiting request counts as acknowledged by a dispatcher. Requests that were not acknowledged
    // before keep their timeout; otherwise each failed attempt to reach a peer that is gone would restart it.
    for (auto& [id, request] : m_requests) {
        if (!request.held && request.acknowledged && &domainOf(request.place.domain) == &domain) {
            awaitAcknowledgement(request, domain, now);
        }
    }
}

void PlacementRouter::awaitAcknowledgements(const DomainId& id, const Domain& domain, MonotonicTime now)
{
    for (auto& [requestId, request] : m_requests) {
        if (!request.held && request.place.domain == id) {
            awaitAcknowledgement(request, domain, now);
        }
    }
}

void PlacementRouter::sendResync(const DomainId& id, Domain& domain, MonotonicTime now)
{
    domain.resyncAt.reset();
    Resync resync { m_options.self, id, {}, {}, {} };
    for (auto& [requestId, request] : m_requests) {
        if (request.place.domain != id) {
            continue;
        }
        if (request.held) {
            resync.held.push_back(*request.held);
            continue;
        }
        auto place = request.place;
        place.remaining = std::max(Duration(0), request.deadline - now);
        place.waited += now - request.arrived;
        resync.waiting.push_back(std::move(place));
    }
    if (!std::exchange(domain.ownerKnowsParts, true)) {
        for (const auto& part : domain.parts) {
            resync.parts.push_back({ part.server, part.prefix, part.prefixTokens, now - part.lastUsed });
        }
    }
    resync.limits = m_fallback.limits(id, now);
    resync.rejectionLimits = m_fallback.rejectionLimits(id, now);
    ++m_resyncsSent;
    sendToOwner(id, std::move(resync));
}

void PlacementRouter::rememberParts(
    Domain& domain, const Request& request, const BackendServerId& server, MonotonicTime now)
{
    const auto& place = request.place;
    if (place.prefixTokens.size() < 2) {
        return;
    }
    auto shared = place.prefix.size() - 1;
    auto key = std::pair(place.prefix[shared - 1], server);
    if (auto it = domain.partIndex.find(key); it != domain.partIndex.end()) {
        it->second->lastUsed = now;
        domain.parts.splice(domain.parts.end(), domain.parts, it->second);
        return;
    }
    auto end = static_cast<std::ptrdiff_t>(shared);
    domain.parts.push_back({ server, { place.prefix.begin(), place.prefix.begin() + end },
        { place.prefixTokens.begin(), place.prefixTokens.begin() + end }, now });
    domain.partIndex.emplace(key, std::prev(domain.parts.end()));
    if (domain.parts.size() > maxRememberedParts) {
        const auto& oldest = domain.parts.front();
        domain.partIndex.erase({ oldest.prefix.back(), oldest.server });
        domain.parts.pop_front();
    }
}

// A dispatcher that responds again has to learn which requests were placed without it.
void PlacementRouter::markResponsive(const InstanceId& from, Domain& domain, MonotonicTime now)
{
    if (domain.owner != from) {
        return;
    }
    domain.resyncDelay = {};
    if (std::exchange(domain.unresponsive, false)) {
        scheduleResync(domain, now);
    }
}

void PlacementRouter::sendToOwner(const DomainId& id, EntryMessage message)
{
    if (auto owner = domainOf(id).owner) {
        sendTo(*owner, id, std::move(message));
    }
}

void PlacementRouter::sendTo(const InstanceId& to, const DomainId& id, EntryMessage message)
{
    if (to == m_options.self) {
        if (owns(id)) {
            auto self = std::ranges::find(m_members, to, &Member::id);
            auto dataCentre = self == m_members.end() ? DataCentreId() : self->dataCentre;
            m_actions.emplace_back(
                SendToDispatcher { id, EntryMessageReceived { to, std::move(message), std::move(dataCentre) } });
        }
        return;
    }
    auto packet = std::visit([&](auto& it) { return PlacementPacket { id, std::move(it) }; }, message);
    m_actions.emplace_back(SendToPeer { to, std::move(packet) });
}

void PlacementRouter::returnGrant(
    const InstanceId& dispatcher, const DomainId& id, const RequestId& request, GrantId grant)
{
    Progress progress;
    progress.request = request;
    progress.grant = grant;
    progress.domain = id;
    progress.finished = true;
    progress.outcome = FinishOutcome::Aborted;
    sendTo(dispatcher, id, std::move(progress));
}

void PlacementRouter::requestServer(Request& request, Domain& domain, MonotonicTime now)
{
    const auto& id = request.place.domain;
    if (!m_signals.empty()) {
        m_signals.addTo(request.place.excluded, m_fallback.serversOf(id), now);
    }
    awaitAcknowledgement(request, domain, now);
    auto place = request.place;
    place.remaining = std::max(Duration(0), request.deadline - now);
    place.waited += now - request.arrived;
    sendToOwner(id, std::move(place));
}

bool PlacementRouter::refuseUnavailable(const Request& request, MonotonicTime now)
{
    if (m_signals.empty()) {
        return false;
    }
    auto wait = m_signals.waitForAny(m_fallback.serversOf(request.place.domain), now);
    if (!wait) {
        return false;
    }
    // The callers that are refused meanwhile must not all come back when the first server takes requests again.
    std::uniform_real_distribution<double> spread(1, 1 + retrySpread);
    Refusal refusal { request.place.request, RefusalCode::Overloaded,
        fromSeconds(toSeconds(*wait) * spread(m_random)) };
    m_actions.emplace_back(DeliverToThread { request.thread, std::move(refusal) });
    erase(request.place.request);
    return true;
}

void PlacementRouter::declineGrant(Request& request, const Grant& grant, const InstanceId& from, MonotonicTime now)
{
    const auto id = request.place.domain;
    auto& domain = domainOf(id);
    returnGrant(from, id, grant.request, grant.grant);
    if (domain.owner != from) {
        return; // it waits at the current owner
    }
    if (refuseUnavailable(request, now)) {
        return;
    }
    auto& excluded = request.place.excluded;
    if (std::ranges::count(excluded, grant.server) > 0) {
        // The dispatcher has no other server, so this instance looks for one itself.
        request.acknowledged = false;
        request.fallbackAt = now + m_options.fallbackRetry;
        setTimer(request);
        return;
    }
    excluded.push_back(grant.server);
    requestServer(request, domain, now);
}

void PlacementRouter::revokeOnClosedServers()
{
    for (auto& [id, request] : m_requests) {
        if (request.held && !request.revoked
            && (m_fallback.isClosed(request.held->server) || m_signals.leaves(request.held->server))) {
            request.revoked = true;
            m_actions.emplace_back(
                DeliverToThread { request.thread, Revoke { id, request.held->grant, RevokeReason::ServerLeaving } });
        }
    }
}

void PlacementRouter::recordLimit(const Request& request, const Progress& progress, MonotonicTime now)
{
    const auto& id = request.place.domain;
    const auto& server = request.held->server;
    if (progress.finished && progress.outcome == FinishOutcome::Declined) {
        m_fallback.recordRejection(server, now);
    }
    if (!progress.limitSeen) {
        return;
    }
    bool changed = m_fallback.recordAnswer(server, progress.limit, request.grantedAt, now);
    changed = m_fallback.recordRejectionLimit(server, progress.rejectionLimit, request.grantedAt, now) || changed;
    if (!changed) {
        return;
    }
    // The current dispatcher takes nothing from reports of grants that it does not know.
    if (auto& domain = domainOf(id); request.placedLocally || domain.owner != request.grantedBy) {
        scheduleResync(domain, now);
    }
}

void PlacementRouter::recordGrant(Request& request, const Grant& grant, const InstanceId& from, MonotonicTime now)
{
    request.held = HeldGrant { request.place, grant.grant, grant.server, {} };
    request.revoked = false;
    request.grantedBy = from;
    request.grantedAt = now;
    m_fallback.addInFlight(grant.server);
    m_timers.erase({ request.timerDue, request.place.request });
}

void PlacementRouter::clearGrant(Request& request)
{
    if (request.held) {
        m_fallback.removeInFlight(request.held->server);
        if (request.placedLocally) {
            --m_placedLocally[request.place.domain];
        }
        request.held.reset();
    }
    m_timers.erase({ request.timerDue, request.place.request });
}

void PlacementRouter::erase(const RequestId& id)
{
    if (auto it = m_requests.find(id); it != m_requests.end()) {
        clearGrant(it->second);
        m_requests.erase(it);
    }
}

void PlacementRouter::awaitAcknowledgement(Request& request, const Domain& domain, MonotonicTime now)
{
    request.acknowledged = domain.owner == m_options.self;
    request.fallbackAt = now
        + (!domain.owner              ? Duration(0)
                : domain.unresponsive ? m_options.unresponsiveDispatcherTimeout
                                      : m_options.dispatcherTimeout);
    setTimer(request);
}

void PlacementRouter::setTimer(Request& request)
{
    m_timers.erase({ request.timerDue, request.place.request });
    if (!request.held) {
        request.timerDue = request.acknowledged ? request.deadline : std::min(request.fallbackAt, request.deadline);
        m_timers.insert({ request.timerDue, request.place.request });
    }
}

void PlacementRouter::fireTimer(const RequestId& id, MonotonicTime now)
{
    auto& request = m_requests.at(id);
    if (now < request.deadline) {
        placeLocally(request, now);
        return;
    }
    sendToOwner(request.place.domain, Withdraw { id, request.place.domain });
    m_actions.emplace_back(DeliverToThread { request.thread, Refusal { id, RefusalCode::Overloaded, {} } });
    erase(id);
}

void PlacementRouter::placeLocally(Request& request, MonotonicTime now)
{
    const auto id = request.place.request;
    const auto domainId = request.place.domain;
    auto& domain = domainOf(domainId);
    domain.unresponsive = domain.owner.has_value();
    if (m_fallback.isQuarantined(request.place, now)) {
        m_actions.emplace_back(DeliverToThread { request.thread, Refusal { id, RefusalCode::Quarantined, {} } });
        erase(id);
        return;
    }
    if (refuseUnavailable(request, now)) {
        sendToOwner(domainId, Withdraw { id, domainId });
        return;
    }
    if (!m_signals.empty()) {
        m_signals.addTo(request.place.excluded, m_fallback.serversOf(domainId), now);
    }
    if (request.place.softwareVersion && m_fallback.lacksVersion(request.place)) {
        sendToOwner(domainId, Withdraw { id, domainId });
        m_actions.emplace_back(DeliverToThread { request.thread, Refusal { id, RefusalCode::VersionGone, {} } });
        erase(id);
        return;
    }
    const auto* server = m_fallback.choose(request.place, m_placedLocally[request.place.domain], now);
    if (!server) {
        request.fallbackAt = now + m_options.fallbackRetry;
        setTimer(request);
        return;
    }
    // The dispatcher may have the request in its queue although it did not acknowledge it.
    sendToOwner(request.place.domain, Withdraw { id, request.place.domain });
    Grant grant { id, GrantId(localGrantBit | ++m_lastLocalGrant), server->id, server->address, m_options.grantExpiry,
        server->softwareVersion };
    recordGrant(request, grant, m_options.self, now);
    request.placedLocally = true;
    ++m_placedLocally[request.place.domain];
    m_actions.emplace_back(DeliverToThread { request.thread, std::move(grant) });
}

} // namespace lagoonspoke
