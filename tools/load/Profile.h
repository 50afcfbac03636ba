#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lagoonspoke/core/Error.h"
#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// A log-normal distribution, given by its median and the standard deviation of its logarithm.
struct LogNormal {
    double median = 1;
    double sigma = 0;
};

struct TeamLoad {
    std::string team;
    std::string key;
    double weight = 1; // share of the stream's requests
};

struct Burst {
    Duration start {};
    Duration end {};
    double factor = 1; // the rate is multiplied by it
};

// Open-loop arrivals of one class.
struct StreamLoad {
    std::string className;
    std::vector<TeamLoad> teams;
    double requestsPerSecond = 1;
    std::optional<Burst> burst;
    std::string model; // or, for application calls, a path and a method
    std::string path;
    std::string method = "POST";
    LogNormal promptBytes { 400, 0.5 };
    LogNormal outputTokens { 20, 0.5 };
    int sharedPrefixes = 0; // prompts start with one of this many common texts; 0 for none
    Duration firstTokenTarget = std::chrono::milliseconds(1700);
    Duration tokenGapTarget = std::chrono::milliseconds(28);
};

// What lagoonspoke-load sends.
struct Profile {
    std::string name;
    Duration duration = std::chrono::seconds(10);
    std::vector<StreamLoad> streams;
};

// Reads a profile's JSON text; on failure gives every mistake.
tl::expected<Profile, std::vector<Error>> parseProfile(std::string_view text);

} // namespace lagoonspoke
