#pragma once

#include <string_view>
#include <vector>

#include "lagoonspoke/core/Error.h"

namespace lagoonspoke {

// The fields that appear more than once in their object, each with its path. Boost.JSON keeps the last of them
// without a word. The text must be valid JSON.
std::vector<Error> findDuplicateFields(std::string_view text);

} // namespace lagoonspoke
