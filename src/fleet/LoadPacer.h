#pragma once

#include <deque>
#include <optional>

#include "fleet/FleetOrder.h"
#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// Hands out orders that load weights no faster than the weight store serves them, as loads that the store refuses
// leave a server idle until it tries again. Owned by FleetService.
class LoadPacer {
public:
    explicit LoadPacer(Duration interval)
        : m_interval(interval)
    {
    }

    void add(FleetOrderBody order) { m_waiting.push_back(std::move(order)); }
    // The next order, if one may go out now.
    std::optional<FleetOrderBody> take(MonotonicTime now);
    // The weight store refused a load: the pace halves until it has served ten in a row.
    void noteRefused();
    void noteServed();
    std::optional<MonotonicTime> nextWakeup() const;
    std::size_t waiting() const { return m_waiting.size(); }

private:
    static constexpr int slowestFactor = 16;
    static constexpr int servedForSpeedUp = 10;

    Duration m_interval;
    int m_factor = 1;
    int m_served = 0;
    MonotonicTime m_next;
    std::deque<FleetOrderBody> m_waiting;
};

} // namespace lagoonspoke
