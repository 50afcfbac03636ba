#pragma once

#include <vector>

#include "lagoonspoke/config/Configuration.h"
#include "lagoonspoke/core/Error.h"
#include "lagoonspoke/dispatch/BackendServer.h"

namespace lagoonspoke {

// A whole configuration and the backend servers, for running one instance without a platform.
struct StaticFile {
    Configuration configuration;
    std::vector<BackendServer> servers;
};

// Reads {"number", "objects": [...], "servers": [...]}; on failure gives every mistake.
tl::expected<StaticFile, std::vector<Error>> parseStaticFile(std::string_view text);

// Reads one backend server {"id", "data_centre", "target", "address", "slots", "spot", "leaving"}.
BackendServer readBackendServer(class JsonReader&);

} // namespace lagoonspoke
