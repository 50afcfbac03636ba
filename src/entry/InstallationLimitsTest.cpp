#include "entry/InstallationLimits.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

// Guards against an accepted ticket whose time limits no instance applies, and against limits that stay after the
// object was deleted.
TEST_CASE("the installation's limits replace the daemon's while the object exists")
{
    using namespace std::chrono_literals;
    DaemonSettings settings;
    settings.tokenGapTimeout = 5s;
    settings.grantTimeout = 30s;
    Configuration configuration;
    configuration.installation.emplace();
    configuration.installation->tokenGapTimeout = 700ms;
    auto limited = applyInstallation(settings, configuration);
    REQUIRE(limited.tokenGapTimeout == 700ms);
    REQUIRE(limited.grantTimeout == 30s);
    configuration.installation.reset();
    REQUIRE(applyInstallation(settings, configuration).tokenGapTimeout == 5s);
}

} // namespace lagoonspoke
