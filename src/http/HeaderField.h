#pragma once

#include <string>
#include <string_view>

namespace lagoonspoke {

// Appends a header field and the end of its line. Control characters of the value other than tabs become blanks, as RFC
// 9110, section 5.5, allows, so that no value can begin a field of its own.
void appendHeaderField(std::string& head, std::string_view name, std::string_view value);

} // namespace lagoonspoke
