#pragma once

#include <functional>
#include <set>
#include <string>
#include <string_view>

namespace lagoonspoke {

// Appends a header field and the end of its line. Control characters of the value other than tabs become blanks, as RFC
// 9110, section 5.5, allows, so that no value can begin a field of its own.
void appendHeaderField(std::string& head, std::string_view name, std::string_view value);

// The options of a Connection header, in lower case. A set, as a head may name thousands of them beside thousands of
// fields.
using ConnectionOptions = std::set<std::string, std::less<>>;
ConnectionOptions connectionOptionsOf(std::string_view value);

} // namespace lagoonspoke
