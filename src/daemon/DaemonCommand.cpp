#include "daemon/DaemonCommand.h"

#include <csignal>
#include <cstdio>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include "core/CommandLine.h"
#include "daemon/SignalMask.h"
#include "settings/JsonReader.h"
#include "settings/SettingsFile.h"

ABSL_FLAG(std::string, config, "", "Settings file (JSON). The daemon serves until SIGTERM.");
ABSL_FLAG(std::string, check_config, "", "Settings file (JSON) to check without starting; exit code 2 on a mistake.");

namespace lagoonspoke {

int runDaemonCommand(int argc, char** argv, const std::string& usage,
    const std::function<int(const std::string& path, bool checkOnly)>& run)
{
    absl::SetProgramUsageMessage(usage);
    normaliseFlagNames(argc, argv);
    absl::ParseCommandLine(argc, argv);
    auto check = absl::GetFlag(FLAGS_check_config);
    auto config = absl::GetFlag(FLAGS_config);
    if (check.empty() == config.empty()) {
        fmt::print(stderr, "give one of --config=FILE and --check-config=FILE\n");
        return exitUsage;
    }
    // A reload that comes while the daemon starts waits for the handler.
    blockSignals({ SIGHUP });
    return run(check.empty() ? config : check, !check.empty());
}

std::optional<DaemonSettings> loadSettingsOrPrint(const std::string& path)
{
    auto settings = loadSettings(path);
    if (!settings) {
        fmt::print(stderr, "{}", formatErrors(settings.error()));
        return std::nullopt;
    }
    return std::move(*settings);
}

int serve(const std::string& path, const DaemonSettings& settings, Outcome<ExternalInterfaces> interfaces,
    std::optional<StaticFile> file)
{
    if (!interfaces) {
        fmt::print(stderr, "{}\n", interfaces.error().message);
        return exitUsage;
    }
    auto daemon = Daemon::Make(settings, std::move(*interfaces));
    if (!daemon) {
        fmt::print(stderr, "{}\n", daemon.error().message);
        return exitFailure;
    }
    if (file) {
        (*daemon)->applyStaticFile(std::move(*file));
    }
    // A reader of the log that ends must not end the daemon.
    std::signal(SIGPIPE, SIG_IGN);
    (*daemon)->run([path] { return loadSettings(path); });
    return 0;
}

} // namespace lagoonspoke
