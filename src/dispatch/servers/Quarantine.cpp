#include "dispatch/servers/Quarantine.h"

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

bool Quarantine::recordDeath(Fingerprint fingerprint, int otherRequests, MonotonicTime grantedAt, MonotonicTime now)
{
    if (fingerprint == Fingerprint {}) {
        return false;
    }
    removeExpired(now);
    auto& entry = m_entries[fingerprint];
    if (now < entry.quarantinedUntil || grantedAt <= entry.lastDeath) {
        return false;
    }
    entry.evidence += otherRequests > maxOthersForFullEvidence ? weakEvidence : 1;
    entry.lastDeath = now;
    entry.forgottenAt = now + m_longest;
    if (entry.evidence < quarantineEvidence) {
        return false;
    }
    entry.duration = std::clamp(2 * entry.duration, m_shortest, m_longest);
    entry.quarantinedUntil = now + entry.duration;
    entry.forgottenAt = entry.quarantinedUntil + m_longest;
    return true;
}

bool Quarantine::recordFinished(Fingerprint fingerprint, MonotonicTime now)
{
    auto it = m_entries.find(fingerprint);
    if (it == m_entries.end() || now < it->second.quarantinedUntil) {
        return false;
    }
    m_entries.erase(it);
    return true;
}

void Quarantine::receive(Fingerprint fingerprint, Duration remaining, MonotonicTime now)
{
    removeExpired(now);
    auto& entry = m_entries[fingerprint];
    entry.evidence = quarantineEvidence;
    // A received duration must not extend a quarantine beyond its configured length.
    entry.quarantinedUntil = std::max(entry.quarantinedUntil, now + std::min(remaining, m_longest));
    entry.duration = std::max(entry.duration, m_shortest);
    entry.forgottenAt = entry.quarantinedUntil + m_longest;
}

const Quarantine::Entry* Quarantine::find(Fingerprint fingerprint, MonotonicTime now) const
{
    auto it = m_entries.find(fingerprint);
    return it == m_entries.end() || it->second.forgottenAt <= now ? nullptr : &it->second;
}

bool Quarantine::isSuspect(Fingerprint fingerprint, MonotonicTime now) const
{
    const auto* entry = find(fingerprint, now);
    return entry && now >= entry->quarantinedUntil && entry->evidence >= suspectEvidence;
}

std::optional<Duration> Quarantine::remainingQuarantine(Fingerprint fingerprint, MonotonicTime now) const
{
    const auto* entry = find(fingerprint, now);
    return entry && now < entry->quarantinedUntil ? std::optional(entry->quarantinedUntil - now) : std::nullopt;
}

void Quarantine::removeExpired(MonotonicTime now)
{
    absl::erase_if(m_entries, [&](const auto& it) { return it.second.forgottenAt <= now; });
}

} // namespace lagoonspoke
