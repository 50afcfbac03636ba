#include <cstdio>
#include <optional>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include "core/CommandLine.h"
#include "daemon/Daemon.h"
#include "settings/JsonReader.h"
#include "settings/SettingsFile.h"

ABSL_FLAG(std::string, config, "", "Settings file (JSON). The daemon serves until SIGTERM.");
ABSL_FLAG(std::string, check_config, "", "Settings file (JSON) to check without starting; exit code 2 on a mistake.");

namespace lagoonspoke {

namespace {

constexpr int exitUsage = 2;
constexpr int exitFailure = 1;

// Reads and parses a file; prints every mistake and gives nothing on failure.
template <typename Parse>
auto load(const std::string& path, Parse parse) -> std::optional<typename decltype(parse(""))::value_type>
{
    auto text = readFile(path);
    if (!text) {
        fmt::print(stderr, "{}\n", text.error().message);
        return std::nullopt;
    }
    auto parsed = parse(*text);
    if (!parsed) {
        fmt::print(stderr, "{}", formatErrors(parsed.error()));
        return std::nullopt;
    }
    return std::move(*parsed);
}

int runDaemon(const std::string& path, bool checkOnly)
{
    auto settings = load(path, parseDaemonSettings);
    if (!settings) {
        return exitUsage;
    }
    std::optional<StaticFile> file;
    if (!settings->staticFile.empty()) {
        file = load(settings->staticFile, parseStaticFile);
        if (!file) {
            return exitUsage;
        }
    }
    if (checkOnly) {
        return 0;
    }
    auto interfaces = makeOwnInterfaces(*settings);
    if (!interfaces) {
        fmt::print(stderr, "{}\n", interfaces.error().message);
        return exitUsage;
    }
    auto daemon = Daemon::Make(*settings, std::move(*interfaces));
    if (!daemon) {
        fmt::print(stderr, "{}\n", daemon.error().message);
        return exitFailure;
    }
    if (file) {
        (*daemon)->applyStaticFile(std::move(*file));
    }
    (*daemon)->run([path] { return loadSettings(path); });
    return 0;
}

} // namespace

} // namespace lagoonspoke

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Routes language-model and application traffic.\n"
                                 "  lagoonspoked --config=FILE\n"
                                 "  lagoonspoked --check-config=FILE");
    lagoonspoke::normaliseFlagNames(argc, argv);
    absl::ParseCommandLine(argc, argv);
    auto check = absl::GetFlag(FLAGS_check_config);
    auto config = absl::GetFlag(FLAGS_config);
    if (check.empty() == config.empty()) {
        fmt::print(stderr, "give one of --config=FILE and --check-config=FILE\n");
        return 2;
    }
    return lagoonspoke::runDaemon(check.empty() ? config : check, !check.empty());
}
