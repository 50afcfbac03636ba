#pragma once

#include <map>
#include <string>

#include "config/ObjectReader.h"

namespace lagoonspoke {

// The canonical text {"kind", "name", "spec"} of every object. Every field with a default is written, so that a build
// with other defaults reads the same configuration.
std::map<ObjectKey, std::string> writeObjects(const Configuration&);

// The spec of one team as canonical JSON.
std::string writeTeamSpec(const TeamSpec&);

} // namespace lagoonspoke
