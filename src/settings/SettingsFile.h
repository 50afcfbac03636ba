#pragma once

#include <string>
#include <vector>

#include "lagoonspoke/core/Error.h"
#include "settings/DaemonSettings.h"

namespace lagoonspoke {

// Reads a whole file. Errors: NotFound when it cannot be read.
Outcome<std::string> readFile(const std::string& path);

// Reads and checks a settings file; on failure gives every mistake, each with the file's name.
tl::expected<DaemonSettings, std::vector<Error>> loadSettings(const std::string& path);

} // namespace lagoonspoke
