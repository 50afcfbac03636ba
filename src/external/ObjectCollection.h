#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http/Asio.h"
#include "lagoonspoke/core/Error.h"
#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

struct CollectionItem {
    std::string name;
    std::string value;

    bool operator==(const CollectionItem&) const = default;
};

struct CollectionList {
    std::vector<CollectionItem> items;
    std::uint64_t revision = 0; // to watch from; see StoreRevision.h
    // Otherwise the collection may have more items, on pages that the store cannot be asked for.
    bool isComplete = true;
};

struct CollectionChange {
    CollectionItem item; // without a value when it was removed
    bool removed = false;
    // For this long the removed item may be back, if whoever tells of the change cannot know better.
    Duration keptFor {};
};

struct CollectionChanges {
    std::vector<CollectionChange> changes;
    std::uint64_t revision = 0; // to watch from
};

// All objects of one kind in a store outside of the fleet, of whoever writes them. Shared by the services that follow
// it; it must outlive its running calls.
class ObjectCollection {
public:
    virtual ~ObjectCollection() = default;

    // Reads the whole collection. A list that may be stale by seconds is cheaper.
    // Errors: Unavailable, TimedOut, ProtocolViolation.
    virtual asio::awaitable<Outcome<CollectionList>> list(bool mayBeStale) const = 0;
    // Waits for changes after the revision; none when the wait ends first.
    // Errors as of list(), and NotFound when the store no longer knows what changed since, or was restored from a copy
    // since: list again.
    virtual asio::awaitable<Outcome<CollectionChanges>> watch(std::uint64_t revision, Duration wait) const = 0;
    // When the latest outage ended in which items may have lapsed although their writers live; nothing without one.
    virtual std::optional<MonotonicTime> lastOutageEnd() const { return {}; }
};

using ObjectCollectionPtr = std::shared_ptr<const ObjectCollection>;

} // namespace lagoonspoke
