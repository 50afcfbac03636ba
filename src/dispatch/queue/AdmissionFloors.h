#pragma once

#include <map>
#include <optional>

#include "lagoonspoke/core/Ids.h"
#include "lagoonspoke/core/Time.h"
#include "lagoonspoke/core/Units.h"

namespace lagoonspoke {

// Tracks the admission floors received from the other dispatchers of a domain and decides when to publish this
// dispatcher's own. A floor is the lowest tier admitted. Owned by a dispatcher.
class AdmissionFloors {
public:
    // The floor of a dispatcher that admits every tier.
    static constexpr Tier noFloor { 255 };

    explicit AdmissionFloors(Duration lifetime)
        : m_lifetime(lifetime)
    {
    }

    void receive(const InstanceId&, Tier, MonotonicTime now);
    // The highest received floor that has not expired; noFloor if there is none.
    Tier highest(MonotonicTime now);
    // Updates the own floor; returns it if it must be published now.
    std::optional<Tier> publish(Tier own, MonotonicTime now);
    // When the own floor must be published again although unchanged; empty for noFloor.
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
