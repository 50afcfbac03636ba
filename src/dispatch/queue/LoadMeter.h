#pragma once

#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// Averages the load of one domain over the last seconds, for planning the number of backend servers: the requests that
// run or wait, and the servers that prompts keep busy. Owned by the PolicyDispatcher.
class LoadMeter {
public:
    // The number of running and waiting requests is the given one from now on.
    void recordRequests(std::size_t count, MonotonicTime now);
    // A request was granted whose prompt its server reads in the given time.
    void recordReading(Duration time, MonotonicTime now);

    // Averages up to the last record; 0 before the first one.
    double requests() const;
    double readingServers() const;

private:
    void decay(MonotonicTime now);

    bool m_started = false;
    MonotonicTime m_updated {};
    double m_current = 0; // requests since the last update
    double m_seconds = 0; // decayed length of the measured time
    double m_requestSeconds = 0; // decayed sum
    double m_readingSeconds = 0; // decayed sum
};

} // namespace lagoonspoke
