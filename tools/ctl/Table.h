#pragma once

#include <string>
#include <vector>

namespace lagoonspoke {

// Rows as text with aligned columns; the first row is the heading.
std::string formatTable(const std::vector<std::vector<std::string>>& rows);

} // namespace lagoonspoke
