#include "dispatch/queue/BaselineDispatcher.h"

#include <algorithm>

#include <absl/random/uniform_int_distribution.h>

#include "lagoonspoke/core/Overload.h"

namespace lagoonspoke {

BaselineDispatcher::BaselineDispatcher(const DispatchOptions& options)
    : m_options(options)
    , m_random(options.seed)
{
}

std::vector<DispatchAction> BaselineDispatcher::handle(const DispatchEvent& event, MonotonicTime now)
{
    std::visit(Overload {
                   [&](const EntryMessageReceived& received) { accept(received.entry, received.message, now); },
                   [&](const EntryLost& lost) { loseEntry(lost.entry); },
                   [&](const ServersChanged& changed) { replaceServers(changed.servers); },
                   [&](const LoadReported& report) {
                       for (auto& it : m_servers) {
                           if (it.server.id == report.server) {
                               it.reportedLoad = report.running + report.waiting;
                           }
                       }
                   },
                   [](const auto&) {},
               },
        event);
    return advance(now);
}

std::vector<DispatchAction> BaselineDispatcher::advance(MonotonicTime now)
{
    std::erase_if(m_queue, [&](const Waiting& it) {
        if (it.deadline > now) {
            return false;
        }
        ++m_counters.refusals.at(static_cast<std::size_t>(RefusalCode::Overloaded));
        m_actions.emplace_back(SendToEntry { it.entry, Refusal { it.place.request, RefusalCode::Overloaded } });
        return true;
    });
    grantWaiting();
    return std::exchange(m_actions, {});
}

std::optional<MonotonicTime> BaselineDispatcher::nextWakeup() const
{
    if (m_queue.empty()) {
        return std::nullopt;
    }
    return std::ranges::min_element(m_queue, {}, &Waiting::deadline)->deadline;
}

void BaselineDispatcher::accept(const InstanceId& entry, const EntryMessage& message, MonotonicTime now)
{
    auto wait = [&](const PlaceRequest& place) {
        release(place.request);
        m_counters.retries += place.attempt > 1 ? 1 : 0;
        m_queue.push_back({ entry, place, now + place.remaining });
    };
    std::visit(Overload {
                   wait,
                   [&](const Progress& progress) {
                       if (progress.finished) {
                           release(progress.request);
                       }
                   },
                   [&](const Withdraw& withdraw) {
                       std::erase_if(m_queue, [&](const Waiting& it) { return it.place.request == withdraw.request; });
                   },
                   [&](const Resync& resync) {
                       std::ranges::for_each(resync.waiting, wait);
                       for (const auto& granted : resync.held) {
                           m_activeGrants[granted.request.request] = { entry, granted.server };
                           for (auto& it : m_servers) {
                               it.inFlight += it.server.id == granted.server ? 1 : 0;
                           }
                       }
                   },
               },
        message);
}

void BaselineDispatcher::loseEntry(const InstanceId& entry)
{
    std::erase_if(m_queue, [&](const Waiting& it) { return it.entry == entry; });
    std::vector<RequestId> requests;
    for (const auto& [request, grant] : m_activeGrants) {
        if (grant.entry == entry) {
            requests.push_back(request);
        }
    }
    std::ranges::for_each(requests, [&](const auto& it) { release(it); });
}

void BaselineDispatcher::replaceServers(const std::vector<BackendServer>& list)
{
    std::vector<Server> servers;
    for (const auto& server : list) {
        auto known = std::ranges::find_if(m_servers, [&](const Server& it) { return it.server.id == server.id; });
        servers.push_back(known == m_servers.end() ? Server {} : *known);
        servers.back().server = server;
    }
    m_servers = std::move(servers);
}

void BaselineDispatcher::release(const RequestId& request)
{
    auto grant = m_activeGrants.find(request);
    if (grant == m_activeGrants.end()) {
        return;
    }
    for (auto& it : m_servers) {
        it.inFlight -= it.server.id == grant->second.server ? 1 : 0;
    }
    m_activeGrants.erase(grant);
}

BaselineDispatcher::Server* BaselineDispatcher::choose(const PlaceRequest& place)
{
    std::vector<Server*> choices;
    std::vector<Server*> excluded;
    for (auto& it : m_servers) {
        if (it.server.isOpen() && fitsVersion(it.server, place.softwareVersion)) {
            (std::ranges::count(place.excluded, it.server.id) ? excluded : choices).push_back(&it);
        }
    }
    if (choices.empty()) {
        choices = excluded;
    }
    if (choices.empty()) {
        return nullptr;
    }
    switch (m_options.policy) {
    case DispatchPolicy::RoundRobin:
        return choices[m_nextServer++ % choices.size()];
    case DispatchPolicy::PowerOfTwo:
        return chooseOfTwo(choices);
    default:
        return chooseLeastInFlight(choices);
    }
}

BaselineDispatcher::Server* BaselineDispatcher::chooseLeastInFlight(const std::vector<Server*>& choices) const
{
    auto* least = *std::ranges::min_element(choices, {}, [](const Server* it) { return it->inFlight; });
    return least->inFlight < least->server.slots ? least : nullptr;
}

BaselineDispatcher::Server* BaselineDispatcher::chooseOfTwo(const std::vector<Server*>& choices)
{
    auto pick = [&] { return choices[absl::uniform_int_distribution<std::size_t>(0, choices.size() - 1)(m_random)]; };
    auto* first = pick();
    auto* second = pick();
    return second->reportedLoad < first->reportedLoad ? second : first;
}

void BaselineDispatcher::grantWaiting()
{
    while (!m_queue.empty()) {
        auto& waiting = m_queue.front();
        auto* server = choose(waiting.place);
        if (!server) {
            return;
        }
        ++server->inFlight;
        ++m_counters.grants;
        m_activeGrants[waiting.place.request] = { waiting.entry, server->server.id };
        m_actions.emplace_back(SendToEntry { waiting.entry,
            Grant { waiting.place.request, GrantId(++m_lastGrant), server->server.id, server->server.address,
                m_options.grantExpiry, server->server.softwareVersion } });
        m_queue.pop_front();
    }
}

DispatchSummary BaselineDispatcher::summarize() const
{
    DispatchSummary summary;
    for (const auto& waiting : m_queue) {
        ++summary.waiting[waiting.place.tier];
    }
    return summary;
}

DispatchLoad BaselineDispatcher::load() const
{
    DispatchLoad load;
    for (const auto& waiting : m_queue) {
        ++load.requestsByTier[waiting.place.tier];
    }
    // Baselines do not store the tier of a granted request; all are counted in the highest tier.
    for (const auto& [request, grant] : m_activeGrants) {
        ++load.requestsByTier[Tier()];
        ++load.grantsByServer[grant.server];
    }
    return load;
}

} // namespace lagoonspoke
