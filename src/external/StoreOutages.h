#pragma once

#include <optional>

#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// Tells an outage of a store, in which leases on its objects may lapse, from calls that fail for a moment. An outage
// lasts from the first call without an answer to the next answer to any call of this process. Pure; owned by the client
// of the store.
class StoreOutages {
public:
    // Shorter ones let no lease lapse and do not count.
    explicit StoreOutages(Duration shortest);

    // A call failed that the store could have answered from the given time on.
    void noteFailure(MonotonicTime answerableSince);
    // Gives the length of the outage that the answer ends, if it ends one.
    std::optional<Duration> noteAnswer(MonotonicTime now);
    // When the latest outage ended; nothing before the end of the first one.
    std::optional<MonotonicTime> lastEnd() const { return m_lastEnd; }

private:
    Duration m_shortest;
    std::optional<MonotonicTime> m_lastAnswer;
    std::optional<MonotonicTime> m_unansweredSince;
    std::optional<MonotonicTime> m_lastEnd;
};

} // namespace lagoonspoke
