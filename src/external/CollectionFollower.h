#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "external/ObjectCollection.h"
#include "external/WatchTurn.h"

namespace lagoonspoke {

struct CollectionListed {
    CollectionList list;
};
struct CollectionWatched {
    CollectionChanges changes;
};
// The history since the watched revision is gone.
struct CollectionHistoryLost { };
struct CollectionCallFailed {
    Error error;
};
// The store is back since then from an outage in which items may have lapsed.
struct CollectionStoreReturned {
    MonotonicTime at;
};

// The collection as a peer knows it.
struct CollectionHeard {
    CollectionList list;
    // Removed items that the peer keeps.
    std::vector<CollectionChange> kept = {};
};
// What changed at a peer since the revision that its items were of.
struct CollectionChangesHeard {
    std::uint64_t from = 0;
    CollectionChanges changes;
};
// Whether to watch the store, or to live by what peers tell, and the place among those that watch.
struct CollectionRoleChanged {
    bool watches = true;
    WatchTurn turn {};
};

using CollectionEvent = std::variant<CollectionListed, CollectionWatched, CollectionHistoryLost, CollectionCallFailed,
    CollectionStoreReturned, CollectionHeard, CollectionChangesHeard, CollectionRoleChanged>;

struct ListCollection { };
struct WatchCollection {
    std::uint64_t revision = 0;
    Duration wait {};
};
// The items differ from those told last.
struct CollectionUpdated { };
// The store does not answer, or answers again.
struct CollectionReachable {
    bool reachable = true;
};

using CollectionAction = std::variant<ListCollection, WatchCollection, CollectionUpdated, CollectionReachable>;

// Keeps the items of a collection current by a list and watches from then on. Items that may have lapsed in an outage
// of the store are kept for a moment after its return, as their writers come back. A call that fails is no outage by
// itself: the store may cut off a watch that waits. One call runs at a time. Pure; owned by a CollectionWatcher.
class CollectionFollower {
public:
    struct Options {
        // A connection may go silent without its end being noticed, so only a watch that ends shows that there was no
        // change. At this interval the watch of one of the instances ends, whose words the others go by.
        Duration renewalInterval = std::chrono::milliseconds(500);
        Duration shortestWatch = std::chrono::seconds(2);
        Duration longestWatch = std::chrono::seconds(20);
        Duration firstRetry = std::chrono::milliseconds(100);
        // Half of the 3 s after an outage in which news may still be late; calls that fail are billed as well.
        Duration longestRetry = std::chrono::milliseconds(1500);
        // Between a watch that brought changes and the next one: a watch is billed for each answer, and changes of many
        // items come one by one.
        Duration watchPause {};
        // Items that the store lost while it was away are back within this time of its return, if their writers live.
        Duration returnGrace = std::chrono::milliseconds(2300);
        // An item lapses no sooner than this after the beginning of an outage.
        Duration shortestLapse = std::chrono::milliseconds(2400);
        // After an incomplete list. A watch that waits ends first.
        Duration incompleteListRetry = std::chrono::seconds(5);
    };

    explicit CollectionFollower(Options);

    std::vector<CollectionAction> start(MonotonicTime now);
    std::vector<CollectionAction> handle(CollectionEvent, MonotonicTime now);
    std::vector<CollectionAction> advance(MonotonicTime now);
    std::optional<MonotonicTime> nextWakeup() const;

    // The items to go by: those of the store, and those that are kept.
    const std::map<std::string, std::string>& items() const { return m_items; }
    // Which of the items the store no longer has, and until when they are kept. Peers that know of their removal must
    // not take them back.
    const std::map<std::string, MonotonicTime>& kept() const { return m_kept; }
    // Whether the collection was read at least once.
    bool isKnown() const { return m_known; }
    bool isReachable() const { return m_reachable; }
    // Whether the items are as the store has them, by its own word.
    bool isCurrent() const { return m_watches && m_reachable && m_known && !m_listAgainAt; }
    // The revision at which the items changed last, for peers to tell whether they know them.
    std::uint64_t itemsRevision() const { return m_itemsRevision; }
    std::uint64_t revision() const { return m_revision; }

private:
    void take(CollectionListed, MonotonicTime now);
    void take(CollectionWatched, MonotonicTime now);
    void take(const CollectionHistoryLost&, MonotonicTime now);
    void take(const CollectionCallFailed&, MonotonicTime now);
    void take(const CollectionStoreReturned&, MonotonicTime now);
    void take(CollectionHeard, MonotonicTime now);
    void take(CollectionChangesHeard, MonotonicTime now);
    void take(const CollectionRoleChanged&, MonotonicTime now);
    // Whether what peers tell counts; the store's own word counts for more while it can be had.
    bool takesHearsay() const { return !m_watches || !m_reachable || !m_known; }
    void replaceItems(CollectionList, const std::vector<CollectionChange>& kept, MonotonicTime now);
    std::vector<std::string> findMissing(const CollectionList&) const;
    void noteAnswer(MonotonicTime now);
    // Takes the removal of most items by one answer of the store for the end of an outage that no call showed.
    void noteLapses(std::ptrdiff_t removed, MonotonicTime now);
    void apply(std::vector<CollectionChange>, MonotonicTime now);
    void put(CollectionItem);
    // Removes the item, or keeps it for a moment: as told, or after an outage of the store.
    void remove(const std::string& name, Duration keptFor, MonotonicTime now);
    void keep(const std::string& name, MonotonicTime until);
    // Begins the next watch, at once or after a pause.
    void watch(Duration pause, MonotonicTime now);
    // How long the next watch waits. After a change all watches begin at the same moment, so the first one ends at this
    // instance's turn.
    Duration watchWait();
    void dropOverdue(MonotonicTime now);

    Options m_options;
    std::map<std::string, std::string> m_items;
    std::map<std::string, MonotonicTime> m_kept;
    std::vector<CollectionAction> m_actions;
    std::uint64_t m_revision = 0;
    std::uint64_t m_itemsRevision = 0;
    bool m_watches = true;
    WatchTurn m_turn;
    bool m_startsTurns = true; // the next watch is the first one after a change
    bool m_calling = true; // a call runs, or is about to
    bool m_known = false;
    bool m_reachable = true;
    bool m_changed = false;
    std::optional<MonotonicTime> m_returnedAt; // of the store, after an outage or restored from a copy
    std::optional<MonotonicTime> m_answeredAt; // by the store, to a call of this collection
    Duration m_silence {}; // between the last two of these answers
    std::optional<MonotonicTime> m_retryAt;
    std::optional<MonotonicTime> m_watchAt; // the end of a pause
    std::optional<MonotonicTime> m_listAgainAt; // as the last list was incomplete
    Duration m_retryDelay {};
};

} // namespace lagoonspoke
