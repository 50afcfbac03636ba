#pragma once

#include <charconv>
#include <optional>
#include <string_view>

namespace lagoonspoke {

// Parses the whole text as a number; nothing on any other character or on overflow.
template <typename T> std::optional<T> parseNumber(std::string_view text)
{
    T value {};
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

} // namespace lagoonspoke
