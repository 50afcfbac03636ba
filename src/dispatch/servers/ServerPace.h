#pragma once

#include <optional>
#include <string_view>

#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// Why a server gets its load step by step.
enum class PaceReason {
    Added, // it was listed while others served already
    Recovered, // it answered a probe after its ejection
    Reopened, // it was taken from use for a while, such as by an evacuation
};

std::string_view toString(PaceReason);

// Slow start of one backend server: how many requests it runs at the same time follows from how it answers. It begins
// with a few; each answer in the time that healthy servers take allows one more, so that the number doubles in about
// the time of an answer; a late answer or a failure halves it. The pace ends when the server may run as many as its
// slots. Concurrency is bounded rather than a rate, as a server that does not answer then gets nothing more by itself.
// Pure; owned by the server's ServerState.
class ServerPace {
public:
    void begin(PaceReason, MonotonicTime now);
    // An answer to a request that was granted at the given time. Answers to requests from before the pace say nothing.
    void recordAnswer(bool inTime, MonotonicTime grantedAt, MonotonicTime now);
    void end() { m_window.reset(); }

    bool isPaced() const { return m_window.has_value(); }
    PaceReason reason() const { return m_reason; }
    // Slots that may be used of the given ones.
    int usableSlots(int slots) const;
    // Ends the pace once it allows this many slots; returns whether it ended now.
    bool endIfReached(int slots);

private:
    std::optional<double> m_window;
    PaceReason m_reason = PaceReason::Added;
    MonotonicTime m_begunAt {};
    MonotonicTime m_slowedAt {};
};

} // namespace lagoonspoke
