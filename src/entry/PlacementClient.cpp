#include "entry/PlacementClient.h"

#include "lagoonspoke/core/Overload.h"

namespace lagoonspoke {

PlacementClient::PlacementClient(asio::io_context& io, Send send)
    : m_io(io)
    , m_send(std::move(send))
{
}

asio::awaitable<PlacementResult> PlacementClient::place(PlaceRequest request, Duration bound)
{
    auto pending = std::make_shared<Pending>(m_io);
    pending->request = request;
    pending->timer.expires_after(bound);
    m_pending[request.request] = pending;
    m_send(request);
    if (!pending->result && !pending->withdrawn) {
        co_await pending->timer.async_wait(useTuple);
    }
    if (auto it = m_pending.find(request.request); it != m_pending.end() && it->second == pending) {
        m_pending.erase(it);
    }
    if (!pending->result) {
        m_send(Withdraw { request.request, request.domain });
        co_return Refusal { request.request, RefusalCode::Overloaded };
    }
    co_return *pending->result;
}

void PlacementClient::withdraw(const RequestId& request)
{
    if (auto it = m_pending.find(request); it != m_pending.end() && !it->second->result) {
        it->second->withdrawn = true;
        it->second->timer.cancel();
    }
}

void PlacementClient::report(const Progress& progress)
{
    if (auto it = m_held.find(progress.request); it != m_held.end()) {
        it->second.outputTokens = progress.outputTokens;
        if (progress.finished) {
            m_held.erase(it);
        }
    }
    m_send(progress);
}

void PlacementClient::settle(const RequestId& request, PlacementResult result)
{
    if (auto it = m_pending.find(request); it != m_pending.end()) {
        if (const auto* grant = std::get_if<Grant>(&result)) {
            m_held[request] = { it->second->request, grant->grant, grant->server, {} };
        }
        it->second->result = std::move(result);
        it->second->timer.cancel();
    }
}

void PlacementClient::acceptGrant(const Grant& grant)
{
    auto pending = m_pending.find(grant.request);
    if (pending != m_pending.end() && !pending->second->result && !pending->second->withdrawn) {
        settle(grant.request, grant);
        return;
    }
    auto held = m_held.find(grant.request);
    if (held != m_held.end() && held->second.grant == grant.grant) {
        return;
    }
    // A grant that nobody waits for, such as one that crossed a withdrawal or a second one after a resync, would
    // occupy its slot until it expires.
    if (pending != m_pending.end() || held != m_held.end()) {
        const auto& request = held != m_held.end() ? held->second.request : pending->second->request;
        Progress progress;
        progress.request = grant.request;
        progress.grant = grant.grant;
        progress.domain = request.domain;
        progress.finished = true;
        progress.outcome = FinishOutcome::Aborted;
        m_send(std::move(progress));
    }
}

void PlacementClient::acceptRevoke(const Revoke& revoke)
{
    auto held = m_held.find(revoke.request);
    if (held != m_held.end() && held->second.grant == revoke.grant && m_revoked) {
        m_revoked(revoke);
    }
}

void PlacementClient::deliver(DispatcherMessage message)
{
    std::visit(Overload {
                   [&](const Grant& grant) { acceptGrant(grant); },
                   [&](const Refusal& refusal) { settle(refusal.request, refusal); },
                   [&](const Revoke& revoke) { acceptRevoke(revoke); },
               },
        message);
}

Resync PlacementClient::makeResync(const InstanceId& entry, const DomainId& domain) const
{
    Resync resync { entry, domain, {}, {}, {} };
    for (const auto& [request, pending] : m_pending) {
        if (pending->request.domain == domain && !pending->result) {
            resync.waiting.push_back(pending->request);
        }
    }
    for (const auto& [request, held] : m_held) {
        if (held.request.domain == domain) {
            resync.held.push_back(held);
        }
    }
    return resync;
}

} // namespace lagoonspoke
