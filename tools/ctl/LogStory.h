#pragma once

#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonspoke {

// One line of an instance's log. Text before "time=", such as the name of a file, is dropped.
struct LogRecord {
    std::map<std::string, std::string> fields; // "time", "instance" and "event" among them
    std::string text;

    // The field's value, or an empty string.
    std::string_view field(std::string_view name) const;
};

// Nothing for a line that is not of a log.
std::optional<LogRecord> parseLogRecord(std::string_view line);

// What the logs of all instances tell about one request.
struct RequestStory {
    std::vector<LogRecord> records; // about the request and what decided it, in order of time
    std::string conclusion;
};

// Collects the story of a request by its own id or by the id that its caller sent. The logs may be those of several
// instances, in any order; they are read once and kept only where they can matter.
RequestStory collectStory(std::istream& logs, std::string_view id);

} // namespace lagoonspoke
