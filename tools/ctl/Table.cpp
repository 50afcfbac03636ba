#include "tools/ctl/Table.h"

#include <algorithm>

#include <fmt/format.h>

namespace lagoonspoke {

std::string formatTable(const std::vector<std::vector<std::string>>& rows)
{
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string text;
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            // No padding after the last column, which would leave spaces at the line's end.
            text += i + 1 < row.size() ? fmt::format("{:<{}}  ", row[i], widths[i]) : row[i];
        }
        text += '\n';
    }
    return text;
}

} // namespace lagoonspoke
