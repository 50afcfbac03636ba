#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include "http/NumberedEvent.h"
#include "http/SseReader.h"

namespace lagoonspoke {

// Bytes of a stream that are no event of it.
struct FaultyPart {
    StreamFault fault;
    std::string_view text;
};

// Reads the numbered events of one answer over all its attempts: each event once, in order, or the fault after which
// nothing of the attempt counts. Owned by the AnswerRelay.
class NumberedEventReader {
public:
    using Item = std::variant<NumberedEvent, FaultyPart>;

    // The next bytes are those of another attempt, which may repeat events.
    void startAttempt();
    void append(std::string_view bytes) { m_parts.append(bytes); }
    // The next event that was not given before; nothing when more bytes are needed. Views are valid until the next call
    // of next() or append(). Not called after a fault until the next attempt.
    std::optional<Item> next();

    // Of the last event given; empty before the first.
    std::optional<std::int64_t> lastId() const { return m_lastId; }
    // Whether the attempt brought an event, given before or not.
    bool hasEvents() const { return m_attemptId.has_value(); }
    bool hasPartialEvent() const { return m_parts.hasPartialEvent(); }
    // Events of all attempts, with repeated ones.
    std::uint64_t eventCount() const { return m_eventCount; }

private:
    std::optional<Item> read(std::string_view text);

    SseReader m_parts;
    std::optional<std::int64_t> m_lastId;
    std::optional<std::int64_t> m_attemptId; // of the attempt's last event
    std::uint64_t m_eventCount = 0;
};

} // namespace lagoonspoke
