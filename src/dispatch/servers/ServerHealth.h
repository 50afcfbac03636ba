#pragma once

#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// Health of one backend server. Three consecutive failures or one death eject it; after a delay it gets a single
// request as a probe. Owned by the server's ServerState.
class ServerHealth {
public:
    // Returns whether the server should be ejected. The pool decides, as it limits the share of ejected servers.
    bool recordFailure();
    void recordSuccess();

    void eject(MonotonicTime now);
    void reinstate();
    bool isEjected() const { return m_ejected; }
    // Whether an ejected server should get one request, as its delay is over.
    bool isProbeDue(MonotonicTime now) const { return m_ejected && !m_probing && now >= m_probeAt; }
    void startProbe() { m_probing = true; }
    MonotonicTime probeAt() const { return m_probeAt; }
    // Several consecutive probes failed: the server is not expected back soon.
    bool isPersistentlyDown() const { return m_ejected && m_ejections > 3; }
    int failures() const { return m_failures; }

private:
    bool m_ejected = false;
    bool m_probing = false;
    int m_failures = 0;
    int m_ejections = 0; // consecutive, without a success in between
    MonotonicTime m_probeAt {};
};

} // namespace lagoonspoke
