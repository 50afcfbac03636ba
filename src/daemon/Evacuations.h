#pragma once

#include <map>
#include <optional>
#include <vector>

#include "external/EvacuationList.h"
#include "lagoonspoke/dispatch/BackendServer.h"
#include "lagoonspoke/membership/Member.h"

namespace lagoonspoke {

// The evacuations that this instance goes by: those of the highest revision of the store that it learned of, from the
// store itself or from a peer. They stay in force while nobody can be asked. Pure; owned by PeerService.
class Evacuations {
public:
    struct Change {
        std::vector<DataCentreId> begun;
        std::vector<DataCentreId> ended;

        bool empty() const { return begun.empty() && ended.empty(); }
    };

    // Returns what changed; nothing for a list that is not newer than the one known.
    Change learn(const EvacuationList&, MonotonicTime now);
    // Whether any list was learned, if only an empty one.
    bool isKnown() const { return m_known; }
    EvacuationList list() const;
    // Since when this instance obeys each.
    const std::map<DataCentreId, MonotonicTime>& since() const { return m_since; }
    void mark(std::vector<BackendServer>&) const;

    // For the other instances: the whole list, so that the one of the highest revision holds.
    std::optional<Rumour> makeRumour() const;
    // Nothing for a rumour of another kind, or one that cannot be read.
    static std::optional<EvacuationList> readRumour(const Rumour&);

private:
    bool m_known = false;
    std::uint64_t m_revision = 0;
    std::map<DataCentreId, MonotonicTime> m_since;
};

} // namespace lagoonspoke
