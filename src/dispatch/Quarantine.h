#pragma once

#include <optional>

#include <absl/container/flat_hash_map.h>

#include "lagoonspoke/core/Time.h"
#include "lagoonspoke/core/Units.h"

namespace lagoonspoke {

// Tracks fingerprints of requests that were running when a backend server died. Each death adds one unit of evidence,
// or half a unit if many other requests were running there; one unit makes a fingerprint suspect, two quarantine it.
// Owned by a dispatcher, which sends its quarantines to the other dispatchers.
class Quarantine {
public:
    explicit Quarantine(Duration duration)
        : m_duration(duration)
    {
    }

    // Records the death of a server that ran the given number of other requests; true if it quarantines the
    // fingerprint.
    bool recordDeath(Fingerprint, int otherRequests, MonotonicTime now);
    // A request with the fingerprint finished, which clears the suspicion but not a quarantine.
    void recordFinished(Fingerprint);
    // Applies a quarantine of another dispatcher.
    void receive(Fingerprint, Duration remaining, MonotonicTime now);

    // Time of the fingerprint's last recorded death; MonotonicTime::min() if there is none.
    MonotonicTime lastDeath(Fingerprint) const;
    bool isSuspect(Fingerprint, MonotonicTime now) const;
    // Remaining time of the quarantine; empty if the fingerprint is not quarantined.
    std::optional<Duration> remainingQuarantine(Fingerprint, MonotonicTime now) const;

private:
    struct Entry {
        double evidence = 0; // in deaths; half of one if many other requests were running
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
