#pragma once

#include <list>
#include <optional>

#include <absl/container/flat_hash_map.h>

#include "lagoonspoke/core/Time.h"
#include "lagoonspoke/dispatch/Messages.h"

namespace lagoonspoke {

// Model of one engine's prefix cache, derived from the prompts sent to it: the engine caches every prompt part that it
// reads and evicts the least recently used parts when its memory is full. Owned by the engine's ServerState.
class PrefixCache {
public:
    // Zero means no limit: nothing is evicted.
    void setCapacity(Tokens capacity) { m_capacity = capacity; }

    // Tokens of the leading parts of the prompt that are cached, or that are being read for another request.
    Tokens cachedTokens(const PlaceRequest&) const;
    // Whether a leading part is still being read. A request that starts now would read it a second time.
    bool isBeingRead(const PlaceRequest&, MonotonicTime now) const;
    // The engine starts to read the prompt and is expected to finish by the given time.
    void startReading(const PlaceRequest&, MonotonicTime expected);
    void finishReading(const PlaceRequest&);
    void clear();

    Tokens size() const { return m_size; }
    std::size_t partCount() const { return m_parts.size(); }

private:
    struct Part {
        PrefixBlock block {};
        Tokens tokens;
        std::optional<MonotonicTime> expectedReadAt; // set while it is being read
    };
    using Order = std::list<Part>;

    void evictLeastRecentlyUsed();

    Tokens m_capacity;
    Tokens m_size;
    Order m_order; // least recently used first
    absl::flat_hash_map<PrefixBlock, Order::iterator> m_parts;
};

} // namespace lagoonspoke
