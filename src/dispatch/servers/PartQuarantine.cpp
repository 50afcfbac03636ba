#include "dispatch/servers/PartQuarantine.h"

#include <algorithm>

namespace lagoonspoke {

namespace {

// A death counts twice for the only request that its server had not begun to answer. So two such deaths in a row
// quarantine a part, but not two by chance beside a deadly request.
constexpr int soleEvidence = 2;
constexpr int sharedEvidence = 1;
constexpr int quarantineEvidence = 3;

bool contains(const PartQuarantine::Parts& parts, Fingerprint part)
{
    return std::ranges::count(parts, part) > 0;
}

} // namespace

PartQuarantine::Parts PartQuarantine::recordDeath(const DeadRequest& dead, MonotonicTime now)
{
    removeExpired(now);
    Parts quarantined;
    Parts together;
    for (auto part : dead.parts) {
        auto& entry = m_entries[part];
        bool isQuarantined = now < entry.quarantinedUntil;
        if (dead.grantedAt <= entry.lastDeath || (isQuarantined && entry.companions.empty())) {
            continue;
        }
        entry.lastDeath = now;
        entry.forgottenAt = std::max(entry.forgottenAt, now + m_longest);
        entry.evidence += dead.isSole ? soleEvidence : sharedEvidence;
        if (entry.evidence < quarantineEvidence) {
            continue;
        }
        entry.duration = std::clamp(2 * entry.duration, m_shortest, m_longest);
        entry.quarantinedUntil = now + entry.duration;
        entry.forgottenAt = entry.quarantinedUntil + m_longest;
        quarantined.push_back(part);
        if (isQuarantined) {
            // The request ran because it lacks a companion, so this part is deadly by itself.
            entry.companions.clear();
        } else {
            together.push_back(part);
        }
    }
    if (quarantined.size() == 1) {
        return quarantined;
    }
    for (auto part : together) {
        auto& entry = m_entries[part];
        entry.companions = quarantined;
        std::erase(entry.companions, part);
        entry.evidence = 0; // against the part by itself
    }
    return quarantined;
}

PartQuarantine::Parts PartQuarantine::recordAnswered(const Parts& parts, MonotonicTime firstTokenAt, MonotonicTime now)
{
    Parts changed;
    for (auto part : parts) {
        auto it = m_entries.find(part);
        // An answer that began before the last death does not end a quarantine.
        if (it == m_entries.end() || (now < it->second.quarantinedUntil && firstTokenAt <= it->second.lastDeath)) {
            continue;
        }
        m_entries.erase(it);
        changed.push_back(part);
        for (auto& [other, entry] : m_entries) {
            if (std::erase(entry.companions, part) > 0 && entry.companions.empty()) {
                entry.evidence = quarantineEvidence;
                changed.push_back(other);
            }
        }
    }
    return changed;
}

void PartQuarantine::receive(Fingerprint part, Parts companions, Duration remaining, MonotonicTime now)
{
    removeExpired(now);
    auto& entry = m_entries[part];
    bool wasAlone = now < entry.quarantinedUntil && entry.companions.empty();
    entry.companions = wasAlone ? Parts() : std::move(companions);
    entry.evidence = entry.companions.empty() ? quarantineEvidence : 0;
    // A received duration must not extend a quarantine beyond its configured length.
    entry.quarantinedUntil = std::max(entry.quarantinedUntil, now + std::min(remaining, m_longest));
    entry.duration = std::max(entry.duration, m_shortest);
    entry.forgottenAt = entry.quarantinedUntil + m_longest;
}

const PartQuarantine::Entry* PartQuarantine::find(Fingerprint part, MonotonicTime now) const
{
    auto it = m_entries.find(part);
    return it == m_entries.end() || it->second.forgottenAt <= now ? nullptr : &it->second;
}

bool PartQuarantine::isSuspect(Fingerprint part, MonotonicTime now) const
{
    return find(part, now) != nullptr;
}

bool PartQuarantine::hasSuspects(MonotonicTime now) const
{
    return std::ranges::any_of(m_entries, [&](const auto& it) {
        return it.second.forgottenAt > now && (now >= it.second.quarantinedUntil || !it.second.companions.empty());
    });
}

std::optional<Duration> PartQuarantine::remainingQuarantine(const Parts& parts, MonotonicTime now) const
{
    std::optional<Duration> longest;
    if (m_entries.empty()) {
        return longest;
    }
    for (auto part : parts) {
        const auto* entry = find(part, now);
        if (entry && now < entry->quarantinedUntil
            && std::ranges::all_of(entry->companions, [&](Fingerprint it) { return contains(parts, it); })) {
            longest = std::max(longest, std::optional(entry->quarantinedUntil - now));
        }
    }
    return longest;
}

PartQuarantine::Parts PartQuarantine::companionsOf(Fingerprint part) const
{
    auto it = m_entries.find(part);
    return it == m_entries.end() ? Parts() : it->second.companions;
}

void PartQuarantine::removeExpired(MonotonicTime now)
{
    absl::erase_if(m_entries, [&](const auto& it) { return it.second.forgottenAt <= now; });
}

} // namespace lagoonspoke
