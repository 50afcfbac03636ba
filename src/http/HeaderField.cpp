#include "http/HeaderField.h"

#include <algorithm>

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>

namespace lagoonspoke {

void appendHeaderField(std::string& head, std::string_view name, std::string_view value)
{
    head += name;
    head += ": ";
    auto begin = static_cast<std::ptrdiff_t>(head.size());
    head += value;
    std::replace_if(
        head.begin() + begin, head.end(), [](unsigned char c) { return c != '\t' && absl::ascii_iscntrl(c); }, ' ');
    head += "\r\n";
}

ConnectionOptions connectionOptionsOf(std::string_view value)
{
    ConnectionOptions options;
    for (auto option : absl::StrSplit(std::string(value), ',')) {
        options.insert(absl::AsciiStrToLower(absl::StripAsciiWhitespace(option)));
    }
    return options;
}

} // namespace lagoonspoke
