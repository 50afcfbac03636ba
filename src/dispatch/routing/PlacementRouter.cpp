#include "dispatch/routing/PlacementRouter.h"

#include <algorithm>

#include "lagoonspoke/core/Overload.h"
#include "membership/Rendezvous.h"

namespace lagoonspoke {

namespace {

const Member* findMember(const std::vector<Member>& members, const InstanceId& id)
{
    auto it = std::ranges::find(members, id, &Member::id);
    return it == members.end() ? nullptr : &*it;
}

// Whether the instance's process has ended, which voids its requests and grants.
bool isLost(const Member& before, const std::vector<Member>& members)
{
    const auto* after = findMember(members, before.id);
    return before.state != MemberState::Dead
        && (!after || after->state == MemberState::Dead
            || (before.incarnation > 0 && startOf(after->incarnation) != startOf(before.incarnation)));
}

} // namespace

PlacementRouter PlacementRouter::Make(Options options)
{
    return PlacementRouter(std::move(options));
}

PlacementRouter::PlacementRouter(Options options)
    : m_options(std::move(options))
    , m_fallback(m_options.seed)
    , m_random(m_options.seed)
{
}

std::vector<RouterAction> PlacementRouter::handle(const RouterEvent& event, MonotonicTime now)
{
    std::visit(Overload {
                   [&](const ThreadMessage& it) { handleThreadMessage(it, now); },
                   [&](const PeerMessage& it) { handlePeerMessage(it, now); },
                   [&](const DispatcherOutput& it) {
                       if (it.send.entry == m_options.self) {
                           handleDispatcherMessage(m_options.self, it.domain, it.send.message, now);
                       } else {
                           auto message = std::visit(
                               [](const auto& content) { return PlacementMessage(content); }, it.send.message);
                           m_actions.emplace_back(SendToPeer { it.send.entry, { it.domain, std::move(message) } });
                       }
                   },
                   [&](const MembersUpdated& it) { handleMembersUpdated(it.members, now); },
                   [&](const ServersChanged& it) {
                       m_fallback.setServers(it.servers);
                       revokeOnClosedServers();
                   },
                   [&](const PeerLost& it) { handlePeerLost(it.peer, now); },
                   [&](const DomainFloorReceived& it) {
                       m_fallback.receiveFloor(it.domain, it.floor.from, it.floor.floor, now);
                       if (owns(it.domain)) {
                           m_actions.emplace_back(SendToDispatcher { it.domain, it.floor });
                       }
                   },
                   [&](const QuarantineReceived& it) { m_fallback.receiveQuarantine(it, now); },
               },
        event);
    return std::exchange(m_actions, {});
}

std::vector<RouterAction> PlacementRouter::advance(MonotonicTime now)
{
    for (auto& [id, domain] : m_domains) {
        if (domain.resyncAt && *domain.resyncAt <= now) {
            sendResync(id, domain, now);
        }
        if (domain.nextResyncRequest && *domain.nextResyncRequest <= now) {
            requestResyncs(id, domain, now);
        }
    }
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        auto request = m_timers.begin()->second;
        fireTimer(request, now);
    }
    return std::exchange(m_actions, {});
}

std::optional<MonotonicTime> PlacementRouter::nextWakeup() const
{
    std::optional<MonotonicTime> next;
    if (!m_timers.empty()) {
        next = m_timers.begin()->first;
    }
    for (const auto& [id, domain] : m_domains) {
        for (const auto& at : { domain.resyncAt, domain.nextResyncRequest }) {
            if (at && (!next || *at < *next)) {
                next = at;
            }
        }
    }
    return next;
}

bool PlacementRouter::owns(const DomainId& id) const
{
    auto it = m_domains.find(id);
    return it != m_domains.end() && it->second.owner == m_options.self;
}

PlacementRouter::Domain& PlacementRouter::domainOf(const DomainId& id)
{
    auto [it, created] = m_domains.try_emplace(id);
    if (created) {
        it->second.owner = ownerOf(id, m_members);
    }
    return it->second;
}

void PlacementRouter::handleThreadMessage(const ThreadMessage& received, MonotonicTime now)
{
    std::visit(
        Overload {
            [&](const PlaceRequest& place) {
                erase(place.request);
                auto& domain = domainOf(place.domain);
                auto& request = m_requests[place.request];
                request = { received.thread, place, now, now + place.remaining, {}, false, {}, {}, false, {}, {} };
                if (!refuseUnavailable(request, now)) {
                    requestServer(request, domain, now);
                }
            },
            [&](const Progress& progress) {
                sendToOwner(progress.domain, progress);
                auto it = m_requests.find(progress.request);
                if (it != m_requests.end() && it->second.held && it->second.held->grant == progress.grant) {
                    if (progress.signal) {
                        m_signals.record(it->second.held->server, *progress.signal, now);
                        revokeOnClosedServers();
                    }
                    it->second.held->outputTokens = progress.outputTokens;
                    recordLimit(it->second, progress, now);
                    if (progress.finished) {
                        erase(progress.request);
                    }
                }
            },
            [&](const Withdraw& withdraw) {
                auto it = m_requests.find(withdraw.request);
                // The grant may have been in flight to the thread when the thread withdrew the request.
                if (it != m_requests.end() && it->second.held && !it->second.placedLocally) {
                    auto& domain = domainOf(withdraw.domain);
                    returnGrant(domain.owner.value_or(m_options.self), withdraw.domain, withdraw.request,
                        it->second.held->grant);
                } else {
                    sendToOwner(withdraw.domain, withdraw);
                }
                erase(withdraw.request);
            },
            [](const Resync&) {},
        },
        received.message);
}

void PlacementRouter::handlePeerMessage(const PeerMessage& received, MonotonicTime now)
{
    const auto& domain = received.packet.domain;
    auto asEntry = [&](auto content) { handleEntryMessage(received.from, domain, std::move(content), now); };
    auto asDispatcher = [&](const auto& content) { handleDispatcherMessage(received.from, domain, content, now); };
    std::visit(Overload {
                   [&](const PlaceRequest& it) { asEntry(it); },
                   [&](const Progress& it) { asEntry(it); },
                   [&](const Withdraw& it) { asEntry(it); },
                   [&](const Resync& it) { asEntry(it); },
                   [&](const Grant& it) { asDispatcher(it); },
                   [&](const Refusal& it) { asDispatcher(it); },
                   [&](const Revoke& it) { asDispatcher(it); },
                   [&](const Accepted& it) {
                       auto& state = domainOf(domain);
                       markResponsive(received.from, state, now);
                       auto request = m_requests.find(it.request);
                       if (request != m_requests.end() && state.owner == received.from) {
                           request->second.acknowledged = true;
                           setTimer(request->second);
                       }
                   },
               },
        received.packet.message);
}

void PlacementRouter::handleEntryMessage(
    const InstanceId& from, const DomainId& id, EntryMessage message, MonotonicTime now)
{
    auto& domain = domainOf(id);
    auto accept = [&](const RequestId& request) {
        m_actions.emplace_back(SendToPeer { from, { id, Accepted { request } } });
    };
    const auto* place = std::get_if<PlaceRequest>(&message);
    auto* resync = std::get_if<Resync>(&message);
    if (domain.owner != m_options.self) {
        if (place || resync) {
            Refusal refusal { place ? place->request : RequestId(), RefusalCode::NotOwner, {} };
            m_actions.emplace_back(SendToPeer { from, { id, refusal } });
        }
        return;
    }
    if (place) {
        accept(place->request);
    } else if (resync) {
        resync->entry = from;
        domain.staleEntries.erase(from);
        // Shows the sender that its dispatcher responds, even if no request waits.
        accept(RequestId());
        for (const auto& it : resync->waiting) {
            accept(it.request);
        }
    } else if (!domain.entries.contains(from)) {
        scheduleResyncRequest(domain, from, now);
    }
    domain.entries.insert(from);
    const auto* member = findMember(m_members, from);
    auto dataCentre = member ? member->dataCentre : DataCentreId();
    m_actions.emplace_back(
        SendToDispatcher { id, EntryMessageReceived { from, std::move(message), std::move(dataCentre) } });
}

void PlacementRouter::handleDispatcherMessage(
    const InstanceId& from, const DomainId& id, const DispatcherMessage& message, MonotonicTime now)
{
    std::visit(
        Overload {
            [&](const Grant& it) { handleGrant(from, id, it, now); },
            [&](const Refusal& it) { handleRefusal(from, id, it, now); },
            [&](const Revoke& it) {
                auto request = m_requests.find(it.request);
                if (request != m_requests.end() && request->second.held && request->second.held->grant == it.grant) {
                    m_actions.emplace_back(DeliverToThread { request->second.thread, it });
                }
            },
        },
        message);
}

void PlacementRouter::handleGrant(const InstanceId& from, const DomainId& id, Grant grant, MonotonicTime now)
{
    if (grant.softwareVersion.empty()) {
        // A dispatcher of an earlier release does not tell it.
        grant.softwareVersion = m_fallback.versionOf(grant.server);
    }
    auto& domain = domainOf(id);
    markResponsive(from, domain, now);
    auto it = m_requests.find(grant.request);
    if (it == m_requests.end()) {
        returnGrant(from, id, grant.request, grant.grant);
        return;
    }
    auto& request = it->second;
    if (request.held) {
        if (request.held->grant != grant.grant || request.grantedBy != from) {
            returnGrant(from, id, grant.request, grant.grant);
        }
        return;
    }
    // Nor does it know the version that the request is bound to.
    bool fits = !request.place.softwareVersion || *request.place.softwareVersion == grant.softwareVersion;
    if (!fits || m_fallback.isClosed(grant.server) || m_signals.refuses(grant.server, now)) {
        declineGrant(request, grant, from, now);
        return;
    }
    recordGrant(request, grant, from, now);
    rememberParts(domain, request, grant.server, now);
    if (domain.owner != from) {
        // The current owner still has the request in its queue.
        scheduleResync(domain, now);
    }
    m_actions.emplace_back(DeliverToThread { request.thread, grant });
}

void PlacementRouter::handleRefusal(
    const InstanceId& from, const DomainId& id, const Refusal& refusal, MonotonicTime now)
{
    auto& domain = domainOf(id);
    if (refusal.code == RefusalCode::NotOwner) {
        if (domain.owner == from) {
            delayResync(domain, now);
        }
        return;
    }
    markResponsive(from, domain, now);
    auto it = m_requests.find(refusal.request);
    // An earlier owner may refuse a request that the current one can still grant.
    if (it != m_requests.end() && !it->second.held && domain.owner == from) {
        m_actions.emplace_back(DeliverToThread { it->second.thread, refusal });
        erase(refusal.request);
    }
}

void PlacementRouter::handleMembersUpdated(const std::vector<Member>& members, MonotonicTime now)
{
    auto before = std::exchange(m_members, members);
    const auto* self = findMember(members, m_options.self);
    m_fallback.setInstanceCount(static_cast<std::size_t>(std::ranges::count_if(
        members, [&](const Member& it) { return isEligible(it) && (!self || it.region == self->region); })));
    m_fallback.setKnownInstanceCount(static_cast<std::size_t>(
        std::ranges::count_if(members, [&](const Member& it) { return !self || it.region == self->region; })));
    for (const auto& member : before) {
        if (member.id != m_options.self && isLost(member, members)) {
            handleEntryLost(member.id, now);
        }
    }
    for (auto& [id, domain] : m_domains) {
        if (auto owner = ownerOf(id, members); owner != domain.owner) {
            changeOwner(id, domain, std::move(owner), now);
        } else if (owner) {
            // The dispatcher of a restarted owner is a new one, without the state of the last.
            const auto* old = findMember(before, *owner);
            const auto* current = findMember(members, *owner);
            if (old && *owner != m_options.self && startOf(old->incarnation) != startOf(current->incarnation)) {
                domain.ownerKnowsParts = false;
                awaitAcknowledgements(id, domain, now);
                scheduleResync(domain, now);
            }
        }
    }
}

void PlacementRouter::handleEntryLost(const InstanceId& entry, MonotonicTime now)
{
    for (auto& [id, domain] : m_domains) {
        if (domain.owner == m_options.self && domain.entries.contains(entry)) {
            // The entry may only have been slow; it then has to send its state again.
            scheduleResyncRequest(domain, entry, now + m_options.resyncRequestInterval);
            m_actions.emplace_back(SendToDispatcher { id, EntryLost { entry } });
        }
    }
}

void PlacementRouter::changeOwner(
    const DomainId& id, Domain& domain, std::optional<InstanceId> owner, MonotonicTime now)
{
    if (domain.owner == m_options.self) {
        m_actions.emplace_back(DropDispatcher { id, owner });
        for (const auto& entry : std::exchange(domain.entries, {})) {
            if (entry != m_options.self) {
                requestResync(entry, id);
            }
        }
        domain.staleEntries.clear();
        domain.nextResyncRequest.reset();
    }
    domain.owner = std::move(owner);
    domain.unresponsive = false;
    domain.ownerKnowsParts = false;
    domain.resyncDelay = {};
    awaitAcknowledgements(id, domain, now);
    scheduleResync(domain, now);
}

void PlacementRouter::handlePeerLost(const InstanceId& peer, MonotonicTime now)
{
    for (auto& [id, domain] : m_domains) {
        if (domain.owner == peer) {
            domain.ownerKnowsParts = false;
            delayResync(domain, now);
        } else if (domain.owner == m_options.self && domain.entries.contains(peer)) {
            scheduleResyncRequest(domain, peer, now + m_options.resyncRequestInterval);
        }
    }
}

void PlacementRouter::scheduleResyncRequest(Domain& domain, const InstanceId& entry, MonotonicTime at)
{
    domain.staleEntries.insert(entry);
    domain.nextResyncRequest = domain.nextResyncRequest ? std::min(*domain.nextResyncRequest, at) : at;
}

void PlacementRouter::requestResyncs(const DomainId& id, Domain& domain, MonotonicTime now)
{
    domain.nextResyncRequest.reset();
    std::erase_if(domain.staleEntries, [&](const InstanceId& it) { return !findMember(m_members, it); });
    for (const auto& entry : domain.staleEntries) {
        if (findMember(m_members, entry)->state != MemberState::Dead) {
            requestResync(entry, id);
        }
        domain.nextResyncRequest = now + m_options.resyncRequestInterval;
    }
}

void PlacementRouter::requestResync(const InstanceId& entry, const DomainId& id)
{
    Refusal refusal { RequestId(), RefusalCode::NotOwner, {} };
    m_actions.emplace_back(SendToPeer { entry, { id, refusal } });
}

} // namespace lagoonspoke
