#pragma once

#include "lagoonspoke/config/Configuration.h"
#include "settings/DaemonSettings.h"

namespace lagoonspoke {

// The daemon's settings with the time limits that the configuration's installation object sets.
DaemonSettings applyInstallation(DaemonSettings, const Configuration&);

} // namespace lagoonspoke
