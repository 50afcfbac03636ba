#pragma once

#include <cstdint>
#include <string_view>
#include <variant>

namespace lagoonspoke {

// An event of a stream whose events carry increasing numbers as their ids.
struct NumberedEvent {
    std::int64_t id;
    std::string_view text; // with the blank line that ends it
};

// A part of a stream that carries nothing: comments, and times for reconnecting.
struct StreamComment { };

// Why bytes of a stream are no event of it.
enum class StreamFault {
    UnknownLine, // neither a field nor a comment
    NoId,
    SeveralIds,
    InvalidId, // not a number from 0 to 2^63 - 1
    IdNotIncreasing,
    NoData,
    InvalidData, // of a completion: neither a JSON object nor the end marker
    TooLarge,
};

std::string_view toString(StreamFault);

using StreamPart = std::variant<NumberedEvent, StreamComment, StreamFault>;

// Reads a part of a stream that ends with a blank line. Unknown fields with a name are ignored, as the format of
// server-sent events asks for (WHATWG HTML, section 9.2.6).
StreamPart parseNumberedEvent(std::string_view part);

} // namespace lagoonspoke
