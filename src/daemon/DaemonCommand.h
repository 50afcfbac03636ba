#pragma once

#include <functional>
#include <optional>
#include <string>

#include "daemon/Daemon.h"

namespace lagoonspoke {

// What the daemon programs share: their flags, and the way from a settings file to a daemon that serves.

inline constexpr int exitUsage = 2;
inline constexpr int exitFailure = 1;

// Reads --config and --check-config, of which one must be given, and calls the function with the settings file and
// whether it is only to be checked. Gives the exit code.
int runDaemonCommand(int argc, char** argv, const std::string& usage,
    const std::function<int(const std::string& path, bool checkOnly)>&);

// The settings of the file; prints every mistake and gives nothing on failure.
std::optional<DaemonSettings> loadSettingsOrPrint(const std::string& path);

// Serves until SIGTERM with the interfaces, or prints why they could not be made. The settings file is read again on
// SIGHUP. Gives the exit code.
int serve(const std::string& path, const DaemonSettings&, Outcome<ExternalInterfaces>, std::optional<StaticFile> = {});

} // namespace lagoonspoke
