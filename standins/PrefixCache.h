#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace lagoonspoke {

// Bounded least-recently-used cache of prompt prefix blocks with a numbered log of its changes.
// Owned by EngineStandin.
class PrefixCache {
public:
    struct Event {
        std::uint64_t sequence = 0;
        bool stored = true; // otherwise evicted
        std::uint64_t block = 0;
    };

    explicit PrefixCache(std::size_t capacity);

    // Number of leading blocks of the prompt that are cached; afterwards all of them are.
    std::size_t touch(const std::vector<std::uint64_t>& blocks);
    // Events after the given sequence number, oldest first. Only the newest events are kept, so older ones are
    // missing and the receiver sees a gap.
    std::vector<Event> eventsAfter(std::uint64_t sequence) const;
    // Skips sequence numbers, as if events had been lost.
    void loseEvents(std::uint64_t count) { m_lastSequence += count; }
    std::size_t size() const { return m_order.size(); }

private:
    void store(std::uint64_t block);
    void log(bool stored, std::uint64_t block);

    std::size_t m_capacity;
    std::list<std::uint64_t> m_order; // most recent first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_index;
    std::list<Event> m_events;
    std::uint64_t m_lastSequence = 0;
};

} // namespace lagoonspoke
