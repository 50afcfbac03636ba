#include "dispatch/PartQuarantine.h"

#include <algorithm>

namespace lagoonspoke {

namespace {

// Deaths in a row that quarantine a part. Two may be chance for a rare part beside a deadly one.
constexpr int quarantineDeaths = 3;

bool contains(const PartQuarantine::Parts& parts, Fingerprint part)
{
    return std::ranges::count(parts, part) > 0;
}

} // namespace

PartQuarantine::Parts PartQuarantine::recordDeath(const Parts& parts, MonotonicTime grantedAt, MonotonicTime now)
{
    removeExpired(now);
    Parts together;
    Parts alone;
    for (auto part : parts) {
        auto& entry = m_entries[part];
        if (grantedAt <= entry.lastDeath) {
            continue;
        }
        entry.lastDeath = now;
        if (now < entry.quarantinedUntil) {
            // The request ran because it lacks a companion, so this part is the deadly one.
            extend(entry, now);
            if (!std::exchange(entry.companions, {}).empty()) {
                alone.push_back(part);
            }
        } else if (entry.forgottenAt = now + m_duration; ++entry.deaths >= quarantineDeaths) {
            extend(entry, now);
            together.push_back(part);
        }
    }
    for (auto part : together) {
        auto& companions = m_entries[part].companions;
        // A part that is deadly by itself explains the death.
        companions = alone.empty() ? together : alone;
        std::erase(companions, part);
    }
    together.insert(together.end(), alone.begin(), alone.end());
    return together;
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
    entry.deaths = quarantineDeaths;
    // A received duration must not extend a quarantine beyond its configured length.
    entry.quarantinedUntil = std::max(entry.quarantinedUntil, now + std::min(remaining, m_duration));
    entry.forgottenAt = entry.quarantinedUntil + m_duration;
}

void PartQuarantine::extend(Entry& entry, MonotonicTime now)
{
    entry.quarantinedUntil = now + m_duration;
    entry.forgottenAt = entry.quarantinedUntil + m_duration;
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
