#pragma once

#include <optional>

#include <absl/container/flat_hash_map.h>

#include "lagoonspoke/core/Ids.h"
#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// Estimates how long backend servers run the requests of a class, as RFC 6298 estimates round trips. Owned by the
// CallerService of one traffic thread.
class RunTimes {
public:
    void add(const ClassName&, Duration);
    // A time that few runs exceed; none before the first run.
    std::optional<Duration> longest(const ClassName&) const;

private:
    struct Estimate {
        Duration mean;
        Duration deviation;
    };

    absl::flat_hash_map<ClassName, Estimate> m_estimates;
};

} // namespace lagoonspoke
