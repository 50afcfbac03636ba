#include "http/HttpTarget.h"

#include <charconv>
#include <iterator>
#include <utility>

#include <absl/strings/ascii.h>
#include <fmt/format.h>

namespace lagoonspoke {

HttpTarget& HttpTarget::addSegment(std::string_view segment)
{
    m_text += '/';
    appendEncoded(segment);
    return *this;
}

HttpTarget& HttpTarget::addPath(std::string_view path)
{
    while (true) {
        auto slash = path.find('/');
        addSegment(path.substr(0, slash));
        if (slash == std::string_view::npos) {
            return *this;
        }
        path.remove_prefix(slash + 1);
    }
}

HttpTarget& HttpTarget::addParameter(std::string_view name, std::string_view value)
{
    m_text += std::exchange(m_hasQuery, true) ? '&' : '?';
    appendEncoded(name);
    m_text += '=';
    appendEncoded(value);
    return *this;
}

void HttpTarget::appendEncoded(std::string_view text)
{
    static constexpr std::string_view unreservedMarks = "-._~";
    for (char c : text) {
        auto byte = static_cast<unsigned char>(c);
        if (absl::ascii_isalnum(byte) || unreservedMarks.find(c) != std::string_view::npos) {
            m_text += c;
        } else {
            fmt::format_to(std::back_inserter(m_text), "%{:02X}", byte);
        }
    }
}

std::string decodePercent(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        if (text[i] == '%' && i + 2 < text.size()) {
            auto digits = text.substr(i + 1, 2);
            auto [end, ec] = std::from_chars(digits.data(), digits.data() + 2, value, 16);
            if (ec == std::errc() && end == digits.data() + 2) {
                decoded += static_cast<char>(value);
                i += 2;
                continue;
            }
        }
        decoded += text[i];
    }
    return decoded;
}

} // namespace lagoonspoke
