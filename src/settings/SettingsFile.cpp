#include "settings/SettingsFile.h"

#include <fstream>
#include <sstream>

#include <fmt/format.h>

namespace lagoonspoke {

Outcome<std::string> readFile(const std::string& path)
{
    std::ifstream in(path);
    if (!in) {
        return makeError(ErrorCode::NotFound, fmt::format("{} cannot be read", path));
    }
    std::ostringstream text;
    text << in.rdbuf();
    return std::move(text).str();
}

tl::expected<DaemonSettings, std::vector<Error>> loadSettings(const std::string& path)
{
    auto text = readFile(path);
    if (!text) {
        return tl::make_unexpected(std::vector { text.error() });
    }
    return parseDaemonSettings(*text);
}

} // namespace lagoonspoke
