#pragma once

#include <algorithm>
#include <optional>
#include <utility>

#include "lagoonspoke/core/Time.h"
#include "lagoonspoke/core/Units.h"

namespace lagoonspoke {

// The request limit that a backend server named in its answers, for the requests of all instances together. It is in
// force until the server answers without one. Owned by whoever sends requests to the server or grants them.
class RequestLimit {
public:
    // An answer to a request that was granted at the given time named the rate, or showed that there is none. Returns
    // whether the limit changed.
    bool recordAnswer(const std::optional<RequestRate>& rate, MonotonicTime grantedAt, MonotonicTime now)
    {
        // An answer on another connection may have been overtaken: it shows the end of the limit only when its
        // request began after the limit was heard of.
        if (!rate && m_rate && grantedAt <= m_heardAt) {
            return false;
        }
        m_heardAt = rate ? now : std::max(m_heardAt, grantedAt);
        return std::exchange(m_rate, rate) != rate;
    }
    // Another instance heard of the rate at the given time. Returns whether the limit changed.
    bool recordReport(RequestRate rate, MonotonicTime heardAt)
    {
        if (heardAt <= m_heardAt) {
            return false;
        }
        m_heardAt = heardAt;
        return std::exchange(m_rate, rate) != rate;
    }

    const std::optional<RequestRate>& rate() const { return m_rate; }
    // When an answer named the limit last; without a limit, the time at which there was none.
    MonotonicTime heardAt() const { return m_heardAt; }

private:
    std::optional<RequestRate> m_rate;
    MonotonicTime m_heardAt {};
};

} // namespace lagoonspoke
