#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http/Asio.h"
#include "lagoonspoke/core/Error.h"
#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

struct StoredObject {
    std::string value;
    std::uint64_t version = 0; // grows with every write to the key; see StoreRevision.h
};

struct ObjectEntry {
    std::string key;
    std::uint64_t version = 0;
    std::optional<std::string> value = {}; // where the list gives values
};

// A store of versioned values outside of the fleet, the only place that outlives every instance. Shared by the services
// of an instance; it must outlive its running calls.
// Errors of every call: NotFound, Conflict (the condition did not hold, nothing was written), Unavailable (nothing
// was sent, or the store refused), TimedOut and ProtocolViolation (a write may have taken effect: read it back).
class ObjectStore {
public:
    virtual ~ObjectStore() = default;

    virtual asio::awaitable<Outcome<StoredObject>> get(std::string key) const = 0;
    // Writes only if the key does not exist. Gives the new version.
    virtual asio::awaitable<Outcome<std::uint64_t>> create(std::string key, std::string value) const = 0;
    // Writes only if the key still has the version. Gives the new version.
    virtual asio::awaitable<Outcome<std::uint64_t>> update(
        std::string key, std::string value, std::uint64_t version) const = 0;
    // Updates the version if there is one, otherwise creates. Gives the new version.
    asio::awaitable<Outcome<std::uint64_t>> write(
        std::string key, std::string value, std::optional<std::uint64_t> version) const;
    virtual asio::awaitable<Outcome<void>> remove(std::string key, std::uint64_t version) const = 0;
    virtual asio::awaitable<Outcome<std::vector<ObjectEntry>>> list(std::string prefix) const = 0;
    // How often the store was restored from a copy, by its latest reply. What it acknowledged in the seconds before a
    // restoration is lost.
    virtual std::uint64_t restorations() const { return 0; }
};

using ObjectStorePtr = std::shared_ptr<const ObjectStore>;

// A store that also tells of changes of one key.
class WatchableObjectStore : public ObjectStore {
public:
    // Waits until the key's version is greater than the given one; nothing when the wait ends first.
    virtual asio::awaitable<Outcome<std::optional<StoredObject>>> watch(
        std::string key, std::uint64_t after, Duration wait) const = 0;
};

using WatchableObjectStorePtr = std::shared_ptr<const WatchableObjectStore>;

} // namespace lagoonspoke
