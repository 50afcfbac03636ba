#pragma once

#include <deque>

#include "dispatch/servers/RequestLimit.h"

namespace lagoonspoke {

// Keeps the requests that a backend server has to reject for want of room below the number a second that it names: with
// more it fails. How many it has room for is not known, so at most half of that number is granted before the first
// answers can arrive, and after as many rejections nothing is granted until they are a second old.
// Owned by whoever sends requests to the server or grants them.
class RejectionGuard {
public:
    // See RequestLimit; the rate is of rejections.
    bool recordAnswer(const std::optional<RequestRate>&, MonotonicTime grantedAt, MonotonicTime now);
    bool recordReport(RequestRate, MonotonicTime heardAt);
    void recordGrant(MonotonicTime now);
    void recordRejection(MonotonicTime now);

    const std::optional<RequestRate>& rate() const { return m_limit.rate(); }
    // When the rate was heard of; the epoch if no answer showed yet whether there is one.
    MonotonicTime heardAt() const { return m_limit.heardAt(); }
    // Whether a request may be granted, where this number of instances do so without knowing of each other.
    bool hasRoom(std::size_t instances, MonotonicTime now);

private:
    RequestLimit m_limit;
    std::deque<MonotonicTime> m_grants; // those whose rejection may not be known yet
    std::deque<MonotonicTime> m_rejections;
};

} // namespace lagoonspoke
