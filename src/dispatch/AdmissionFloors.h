#pragma once

#include <map>
#include <optional>

#include "lagoonspoke/core/Ids.h"
#include "lagoonspoke/core/Time.h"
#include "lagoonspoke/core/Units.h"

namespace lagoonspoke {

// The lowest admitted tiers of other dispatchers of the same domain, and when to tell our own. Owned by a dispatcher.
class AdmissionFloors {
public:
    // Stands for a dispatcher that admits every tier.
    static constexpr Tier noFloor { 255 };

    explicit AdmissionFloors(Duration lifetime)
        : m_lifetime(lifetime)
    {
    }

    void receive(const InstanceId&, Tier, MonotonicTime now);
    // The highest floor heard and still fresh; open when there is none.
    Tier highest(MonotonicTime now);
    // Records the own floor; gives it when the others must be told now.
    std::optional<Tier> publish(Tier own, MonotonicTime now);
    // When the own floor must be told again even if it does not change.
    std::optional<MonotonicTime> nextPublish() const;

private:
    struct ReceivedFloor {
        Tier floor;
        MonotonicTime at;
    };

    Duration m_lifetime;
    std::map<InstanceId, ReceivedFloor> m_receivedFloors;
    Tier m_publishedFloor = noFloor;
    MonotonicTime m_publishedAt {};
};

} // namespace lagoonspoke
