#pragma once

#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "lagoonspoke/core/Time.h"
#include "lagoonspoke/core/Units.h"

namespace lagoonspoke {

// Finds shared prompt parts that crash each backend server that begins to answer a request with them. A server's death
// is evidence against the parts of the requests that it had hardly begun to answer. A part is suspect after the first
// death and quarantined after two or three in a row. The requests of one death, and those in flight at that time, count
// once, so that many servers that fail together condemn no part. A request with the part that gets its answer clears
// it. Parts that have only died together are quarantined together: requests with some of them alone may still run.
// Owned by a dispatcher, which sends its quarantines to the other dispatchers.
class PartQuarantine {
public:
    using Parts = std::vector<Fingerprint>;

    // A request that ran on a server when it died.
    struct DeadRequest {
        Parts parts;
        MonotonicTime grantedAt;
        bool isSole = false; // the only one on the server without a token so far
    };

    // A first quarantine lasts for the shorter time. After it the part is suspect for the longer one, in which a
    // further death renews the quarantine for twice the last time, up to the longer one.
    PartQuarantine(Duration shortest, Duration longest)
        : m_shortest(shortest)
        , m_longest(longest)
    {
    }

    // Records the death of a server that had hardly begun to answer the request; returns the parts whose quarantine
    // began or no longer depends on others.
    Parts recordDeath(const DeadRequest&, MonotonicTime now);
    // A request whose first token came at the given time was answered for longer than a crash takes; returns the parts
    // that this cleared, and those whose quarantine no longer depends on them.
    Parts recordAnswered(const Parts&, MonotonicTime firstTokenAt, MonotonicTime now);
    // Applies a quarantine of another dispatcher.
    void receive(Fingerprint part, Parts companions, Duration remaining, MonotonicTime now);

    // Whether there is evidence against the part; requests that no quarantine covers run one at a time to test it.
    bool isSuspect(Fingerprint part, MonotonicTime now) const;
    bool hasSuspects(MonotonicTime now) const;
    // Remaining time of the longest quarantine of one of the parts that covers a request with just these; empty if
    // there is none.
    std::optional<Duration> remainingQuarantine(const Parts&, MonotonicTime now) const;
    // The parts that were quarantined together with this one.
    Parts companionsOf(Fingerprint part) const;

private:
    struct Entry {
        int evidence = 0; // while quarantined with companions, against the part by itself
        MonotonicTime lastDeath = MonotonicTime::min();
        MonotonicTime quarantinedUntil = MonotonicTime::min();
        Duration duration {}; // of the last quarantine
        MonotonicTime forgottenAt;
        Parts companions;
    };

    const Entry* find(Fingerprint part, MonotonicTime now) const;
    void removeExpired(MonotonicTime now);

    Duration m_shortest;
    Duration m_longest;
    absl::flat_hash_map<Fingerprint, Entry> m_entries;
};

} // namespace lagoonspoke
