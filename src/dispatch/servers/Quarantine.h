#pragma once

#include <optional>

#include <absl/container/flat_hash_map.h>

#include "lagoonspoke/core/Time.h"
#include "lagoonspoke/core/Units.h"

namespace lagoonspoke {

// Tracks fingerprints of requests that were running when a backend server died. Each death adds one unit of evidence,
// or half a unit if many other requests were running there; one unit makes a fingerprint suspect, two quarantine it.
// Servers that fail together count once. Owned by a dispatcher, which sends its quarantines to the other dispatchers.
class Quarantine {
public:
    // A first quarantine lasts for the shorter time. After it the fingerprint is suspect for the longer one, in which a
    // further death renews the quarantine for twice the last time, up to the longer one.
    Quarantine(Duration shortest, Duration longest)
        : m_shortest(shortest)
        , m_longest(longest)
    {
    }

    // Records the death of a server that ran the given number of other requests beside one that was granted at the
    // given time; true if it quarantines the fingerprint.
    bool recordDeath(Fingerprint, int otherRequests, MonotonicTime grantedAt, MonotonicTime now);
    // A request with the fingerprint finished, which clears the suspicion but not a quarantine. Returns whether there
    // was one.
    bool recordFinished(Fingerprint, MonotonicTime now);
    // Applies a quarantine of another dispatcher.
    void receive(Fingerprint, Duration remaining, MonotonicTime now);

    bool isSuspect(Fingerprint, MonotonicTime now) const;
    // Remaining time of the quarantine; empty if the fingerprint is not quarantined.
    std::optional<Duration> remainingQuarantine(Fingerprint, MonotonicTime now) const;

private:
    struct Entry {
        double evidence = 0; // in deaths; half of one if many other requests were running
        MonotonicTime lastDeath = MonotonicTime::min();
        MonotonicTime quarantinedUntil = MonotonicTime::min();
        Duration duration {}; // of the last quarantine
        MonotonicTime forgottenAt;
    };

    const Entry* find(Fingerprint, MonotonicTime now) const;
    void removeExpired(MonotonicTime now);

    Duration m_shortest;
    Duration m_longest;
    absl::flat_hash_map<Fingerprint, Entry> m_entries;
};

} // namespace lagoonspoke
