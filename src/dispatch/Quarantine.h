#pragma once

#include <optional>

#include <absl/container/flat_hash_map.h>

#include "lagoonspoke/core/Time.h"
#include "lagoonspoke/core/Units.h"

namespace lagoonspoke {

// Fingerprints of requests that were running when a backend server died. The evidence of a death beside few others
// makes a fingerprint suspect, that of a second one quarantines it; a death beside many counts for half. Owned by a
// dispatcher; quarantines are told to the others.
class Quarantine {
public:
    explicit Quarantine(Duration time)
        : m_duration(time)
    {
    }

    // Counts a death beside other running requests; true when the fingerprint becomes quarantined by it.
    bool noteDeath(Fingerprint, int others, MonotonicTime now);
    // A request with the fingerprint finished: it is no longer suspect.
    void noteFinished(Fingerprint);
    void receive(Fingerprint, Duration remaining, MonotonicTime now);

    // Time of the fingerprint's last counted death; the earliest time when none is known.
    MonotonicTime lastDeath(Fingerprint) const;
    bool isSuspect(Fingerprint, MonotonicTime now) const;
    // Remaining time of the quarantine.
    std::optional<Duration> remainingQuarantine(Fingerprint, MonotonicTime now) const;

private:
    struct Entry {
        double evidence = 0; // 1 for a death beside few others
        bool quarantined = false;
        MonotonicTime until;
        MonotonicTime lastDeath = MonotonicTime::min();
    };

    const Entry* find(Fingerprint, MonotonicTime now) const;
    void removeExpired(MonotonicTime now);

    Duration m_duration;
    absl::flat_hash_map<Fingerprint, Entry> m_entries;
};

} // namespace lagoonspoke
