#pragma once

#include <optional>
#include <vector>

#include "external/WatchTurn.h"
#include "lagoonspoke/core/Time.h"
#include "lagoonspoke/membership/Member.h"

namespace lagoonspoke {

// Decides which instances read a collection of the store themselves: every call is billed and a change wakes every
// watch, so in a large fleet two instances of each data centre read it and tell the others. An instance that hears
// nothing of them for a moment reads it as well. Pure; owned by PeerService.
class ReaderRoles {
public:
    struct Options {
        InstanceId self;
        DataCentreId dataCentre;
        // Up to this many instances, each reads for itself.
        std::size_t smallFleet = 16;
        std::size_t readersPerDataCentre = 2;
        // Readers tell that they are there at shorter intervals than this.
        Duration silenceBound = std::chrono::milliseconds(1300);
    };

    explicit ReaderRoles(Options);

    void setMembers(const std::vector<Member>&, MonotonicTime now);
    // A reader told what it knows.
    void noteReader(const InstanceId&, MonotonicTime now);

    bool isReader() const { return m_isReader; }
    // Whether this instance reads now: as a reader, or because it hears of none.
    bool reads(MonotonicTime now) const;
    // This instance's place among those that read; among all if it does so only because it hears of no reader.
    WatchTurn turn() const { return m_turn; }
    // The instances that this one tells, as a reader.
    const std::vector<InstanceId>& listeners() const { return m_listeners; }
    // Those that a reader passes changes on to: its listeners, and the readers of all data centres, as the store's
    // connections to both readers of one may be silent without their notice. Empty where each instance reads for
    // itself.
    std::vector<InstanceId> recipients() const;
    // Whether this reader's word is the one to go by; the second one's counts only while the first one is silent.
    bool isFollowed(const InstanceId&, MonotonicTime now) const;

private:
    struct Reader {
        InstanceId id;
        std::optional<MonotonicTime> heard;
    };

    bool isSilent(const Reader&, MonotonicTime now) const;
    WatchTurn placeAmong(const std::vector<InstanceId>& others) const;
    std::vector<const Member*> chooseReaders(const std::vector<Member>& dataCentre) const;

    Options m_options;
    std::vector<Reader> m_readers; // of the data centre, the first choice first
    std::vector<InstanceId> m_otherReaders; // of all data centres, without this instance
    std::vector<InstanceId> m_listeners;
    WatchTurn m_turn;
    bool m_isReader = true;
    MonotonicTime m_changedAt {};
};

} // namespace lagoonspoke
