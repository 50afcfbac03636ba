#pragma once

#include <string>
#include <vector>

namespace lagoonspoke {

// Rewrites "--flag-name=value" to "--flag_name=value" in place, as Abseil flags are C++ names while
// users expect dashes. Arguments after "--" stay as they are.
void normaliseFlagNames(int argc, char** argv);

} // namespace lagoonspoke
