#include "http/SseReader.h"

#include <algorithm>

#include <absl/strings/ascii.h>

namespace lagoonspoke {

namespace {

// Length of the line break at the position: 0, 1 or 2. A carriage return at the end of the input may be the first
// half of a break and counts as none.
std::size_t breakLength(std::string_view text, std::size_t position)
{
    if (position >= text.size()) {
        return 0;
    }
    if (text[position] == '\n') {
        return 1;
    }
    return text.substr(position, 2) == "\r\n" ? 2 : 0;
}

} // namespace

std::string_view detail::takeLine(std::string_view& text)
{
    auto end = text.find('\n');
    auto line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    return line;
}

std::optional<std::string_view> SseReader::next()
{
    if (m_position > 0 && m_position == m_buffer.size()) {
        m_buffer.clear();
        m_position = m_scanned = 0;
    } else if (m_position > 64 * 1024) {
        m_buffer.erase(0, m_position);
        m_scanned -= m_position;
        m_position = 0;
    }
    std::string_view text = m_buffer;
    for (auto i = m_scanned; i < text.size(); ++i) {
        if (text[i] != '\n') {
            continue;
        }
        if (auto n = breakLength(text, i + 1)) {
            auto event = text.substr(m_position, i + 1 + n - m_position);
            m_position = m_scanned = i + 1 + n;
            return event;
        }
    }
    // The last two bytes may be the first part of the blank line.
    m_scanned = std::max(m_position, text.size() < 2 ? 0 : text.size() - 2);
    return std::nullopt;
}

void SseReader::reset()
{
    m_buffer.clear();
    m_position = m_scanned = 0;
}

bool detail::isEventLine(std::string_view line)
{
    // Other readers take a carriage return by itself for the end of a line.
    if (line.find('\r') != std::string_view::npos) {
        return false;
    }
    auto colon = line.find(':');
    auto name = line.substr(0, colon);
    if (colon == std::string_view::npos) {
        return name == "data";
    }
    return std::ranges::all_of(name, [](unsigned char c) { return absl::ascii_isalnum(c) || c == '-' || c == '_'; });
}

bool hasOnlyEventLines(std::string_view part)
{
    while (!part.empty()) {
        if (auto line = detail::takeLine(part); !line.empty() && !detail::isEventLine(line)) {
            return false;
        }
    }
    return true;
}

std::string dataOf(std::string_view event)
{
    std::string data;
    bool any = false;
    while (!event.empty()) {
        auto line = detail::takeLine(event);
        if (!line.starts_with("data:")) {
            continue;
        }
        line.remove_prefix(5);
        if (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        if (any) {
            data += '\n';
        }
        data += line;
        any = true;
    }
    return data;
}

} // namespace lagoonspoke
