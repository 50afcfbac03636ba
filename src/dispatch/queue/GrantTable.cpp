#include "dispatch/queue/GrantTable.h"

#include <algorithm>

namespace lagoonspoke {

GrantedRequest* GrantTable::find(const RequestId& request)
{
    auto it = m_grants.find(request);
    return it == m_grants.end() ? nullptr : &it->second;
}

GrantedRequest& GrantTable::add(GrantedRequest granted, MonotonicTime expiry)
{
    auto request = granted.place.request;
    if (!granted.started) {
        m_expiries.emplace(expiry, request);
        m_expiryOf[request] = expiry;
    }
    return m_grants[request] = std::move(granted);
}

std::optional<GrantedRequest> GrantTable::remove(const RequestId& request)
{
    auto it = m_grants.find(request);
    if (it == m_grants.end()) {
        return std::nullopt;
    }
    markStarted(it->second);
    auto granted = std::move(it->second);
    m_grants.erase(it);
    return granted;
}

void GrantTable::markStarted(GrantedRequest& granted)
{
    granted.started = true;
    if (auto it = m_expiryOf.find(granted.place.request); it != m_expiryOf.end()) {
        m_expiries.erase({ it->second, it->first });
        m_expiryOf.erase(it);
    }
}

void GrantTable::restartExpiry(const RequestId& request, MonotonicTime expiry)
{
    m_expiries.emplace(expiry, request);
    m_expiryOf[request] = expiry;
}

std::vector<RequestId> GrantTable::expired(MonotonicTime now)
{
    std::vector<RequestId> requests;
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        requests.push_back(m_expiries.begin()->second);
        m_expiryOf.erase(m_expiries.begin()->second);
        m_expiries.erase(m_expiries.begin());
    }
    return requests;
}

std::optional<MonotonicTime> GrantTable::nextExpiry() const
{
    return m_expiries.empty() ? std::nullopt : std::optional(m_expiries.begin()->first);
}

bool GrantTable::isPreemptible(const GrantedRequest& granted)
{
    return granted.place.idempotent && !granted.guaranteed && !granted.revoked && !granted.runsIsolated
        && granted.holdsSlot;
}

bool GrantTable::hasPreemptibleBelow(Tier tier) const
{
    return std::ranges::any_of(
        m_grants, [&](const auto& it) { return tier.isHigherThan(it.second.place.tier) && isPreemptible(it.second); });
}

std::vector<RequestId> GrantTable::requestsWhere(const std::function<bool(const GrantedRequest&)>& accept) const
{
    std::vector<RequestId> requests;
    for (const auto& [request, granted] : m_grants) {
        if (accept(granted)) {
            requests.push_back(request);
        }
    }
    std::ranges::sort(requests);
    return requests;
}

} // namespace lagoonspoke
