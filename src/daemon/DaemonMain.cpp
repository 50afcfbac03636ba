#include <cstdio>
#include <optional>

#include <fmt/format.h>

#include "config/StaticFile.h"
#include "daemon/DaemonCommand.h"
#include "settings/JsonReader.h"
#include "settings/SettingsFile.h"

namespace lagoonspoke {

namespace {

std::optional<StaticFile> loadStaticFile(const std::string& path)
{
    auto text = readFile(path);
    if (!text) {
        fmt::print(stderr, "{}\n", text.error().message);
        return std::nullopt;
    }
    auto file = parseStaticFile(*text);
    if (!file) {
        fmt::print(stderr, "{}", formatErrors(file.error()));
        return std::nullopt;
    }
    return std::move(*file);
}

int runDaemon(const std::string& path, bool checkOnly)
{
    auto settings = loadSettingsOrPrint(path);
    if (!settings) {
        return exitUsage;
    }
    std::optional<StaticFile> file;
    if (!settings->staticFile.empty()) {
        file = loadStaticFile(settings->staticFile);
        if (!file) {
            return exitUsage;
        }
    }
    return checkOnly ? 0 : serve(path, *settings, makeOwnInterfaces(*settings), std::move(file));
}

} // namespace

} // namespace lagoonspoke

int main(int argc, char** argv)
{
    constexpr auto usage = "Routes language-model and application traffic.\n"
                           "  lagoonspoked --config=FILE\n"
                           "  lagoonspoked --check-config=FILE";
    return lagoonspoke::runDaemonCommand(argc, argv, usage, lagoonspoke::runDaemon);
}
