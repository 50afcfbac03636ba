#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace lagoonspoke {

namespace detail {

// Removes the first line and gives it without its line break.
std::string_view takeLine(std::string_view& text);

// Whether the line is a comment or a field with a name; of fields without a value only data is one.
bool isEventLine(std::string_view line);

} // namespace detail

// Splits a stream of server-sent events into whole events, so that a stream that breaks inside an event can be
// resumed after the last whole one. Owned by the coroutine that relays the stream.
class SseReader {
public:
    explicit SseReader(std::size_t maxEventBytes = 1 << 20)
        : m_maxEventBytes(maxEventBytes)
    {
    }

    void append(std::string_view bytes) { m_buffer.append(bytes); }
    // The next whole event with the blank line that ends it; nothing when more bytes are needed. The view is valid
    // until the next call of next() or append().
    std::optional<std::string_view> next();
    // Whether the unfinished event is larger than the limit.
    bool overflowed() const { return m_buffer.size() - m_position > m_maxEventBytes; }
    bool hasPartialEvent() const { return m_position < m_buffer.size(); }
    // Drops the unfinished event.
    void reset();

private:
    std::size_t m_maxEventBytes;
    std::string m_buffer;
    std::size_t m_position = 0;
    std::size_t m_scanned = 0;
};

// Whether a part of a stream consists of fields and comments.
bool hasOnlyEventLines(std::string_view part);

// The text of the event's data lines joined by newlines; empty when it has none.
std::string dataOf(std::string_view event);

} // namespace lagoonspoke
