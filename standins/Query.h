#pragma once

#include <string>
#include <string_view>

namespace lagoonspoke {

// The path of a request target without its query, with its percent-encoded bytes decoded.
std::string targetPath(std::string_view target);

// The value of one query parameter, or an empty string. Its percent-encoded bytes are decoded.
std::string queryParameter(std::string_view target, std::string_view name);

} // namespace lagoonspoke
