#pragma once

#include <list>
#include <optional>

#include <absl/container/flat_hash_map.h>

#include "lagoonspoke/core/Time.h"
#include "lagoonspoke/dispatch/Messages.h"

namespace lagoonspoke {

// The parts of prompts that one model engine holds, as follows from what it was sent: it keeps every part that it read
// and drops the least recently used ones when its memory is full. Owned by the engine's ServerState.
class PrefixCache {
public:
    // Zero means that nothing is dropped.
    void setCapacity(Tokens capacity) { m_capacity = capacity; }

    // Tokens of the leading parts of the prompt that are held, or that are being read for another request.
    Tokens cachedTokens(const PlaceRequest&) const;
    // Whether a leading part is still being read. A request that starts now would read it once more.
    bool isBeingRead(const PlaceRequest&, MonotonicTime now) const;
    // The engine starts to read the prompt; it is expected to have read it by the given time.
    void startReading(const PlaceRequest&, MonotonicTime expected);
    void finishReading(const PlaceRequest&);
    void clear();

    Tokens size() const { return m_size; }

private:
    struct Part {
        PrefixBlock block {};
        Tokens tokens;
        std::optional<MonotonicTime> readingUntil; // while it is being read
    };
    using Order = std::list<Part>;

    void dropLeastRecentlyUsed();

    Tokens m_capacity;
    Tokens m_size;
    Order m_order; // the last used one at the back
    absl::flat_hash_map<PrefixBlock, Order::iterator> m_parts;
};

} // namespace lagoonspoke
