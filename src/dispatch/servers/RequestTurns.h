#pragma once

#include <cstdint>

#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// The moments at which an instance may send a request to a backend server with a request limit while all instances
// place requests by themselves. Each has one turn in a period, at a random phase, so that together they keep to the
// limit whatever their number. Owned by the FallbackPlacer.
class RequestTurns {
public:
    // The seed sets the phase.
    explicit RequestTurns(std::uint64_t seed);

    // Whether there is an unused turn now, at the given number of turns per second.
    bool hasTurn(double rate, MonotonicTime now) const;
    // Uses the turn that hasTurn() found.
    void take(MonotonicTime now) { m_takenAt = now; }

private:
    double m_phase; // 0 to 1, in periods
    MonotonicTime m_takenAt {};
};

} // namespace lagoonspoke
