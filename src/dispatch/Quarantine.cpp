#include "dispatch/Quarantine.h"

#include <algorithm>

namespace lagoonspoke {

namespace {

constexpr double suspectEvidence = 1;
constexpr double quarantineEvidence = 2;
// With more other requests on the dead server, each is unlikely to have caused the death: isolating all of them on
// servers of their own would cost more than a second death.
constexpr int maxOthersForFullEvidence = 8;
constexpr double weakEvidence = 0.5;

} // namespace

bool Quarantine::recordDeath(Fingerprint fingerprint, int otherRequests, MonotonicTime now)
{
    if (fingerprint == Fingerprint {}) {
        return false;
    }
    removeExpired(now);
    auto& entry = m_entries[fingerprint];
    if (entry.quarantined) {
        return false;
    }
    entry.evidence += otherRequests > maxOthersForFullEvidence ? weakEvidence : 1;
    entry.until = now + m_duration;
    entry.lastDeath = now;
    entry.quarantined = entry.evidence >= quarantineEvidence;
    return entry.quarantined;
}

void Quarantine::recordFinished(Fingerprint fingerprint)
{
    auto it = m_entries.find(fingerprint);
    if (it != m_entries.end() && !it->second.quarantined) {
        m_entries.erase(it);
    }
}

void Quarantine::receive(Fingerprint fingerprint, Duration remaining, MonotonicTime now)
{
    removeExpired(now);
    auto& entry = m_entries[fingerprint];
    entry.quarantined = true;
    // A received duration must not extend a quarantine beyond its configured length.
    entry.until = std::max(entry.until, now + std::min(remaining, m_duration));
}

const Quarantine::Entry* Quarantine::find(Fingerprint fingerprint, MonotonicTime now) const
{
    auto it = m_entries.find(fingerprint);
    return it == m_entries.end() || it->second.until <= now ? nullptr : &it->second;
}

MonotonicTime Quarantine::lastDeath(Fingerprint fingerprint) const
{
    auto it = m_entries.find(fingerprint);
    return it == m_entries.end() ? MonotonicTime::min() : it->second.lastDeath;
}

bool Quarantine::isSuspect(Fingerprint fingerprint, MonotonicTime now) const
{
    const auto* entry = find(fingerprint, now);
    return entry && !entry->quarantined && entry->evidence >= suspectEvidence;
}

std::optional<Duration> Quarantine::remainingQuarantine(Fingerprint fingerprint, MonotonicTime now) const
{
    const auto* entry = find(fingerprint, now);
    return entry && entry->quarantined ? std::optional(entry->until - now) : std::nullopt;
}

void Quarantine::removeExpired(MonotonicTime now)
{
    absl::erase_if(m_entries, [&](const auto& it) { return it.second.until <= now; });
}

} // namespace lagoonspoke
