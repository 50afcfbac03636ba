#pragma once

#include <string>

#include "lagoonspoke/core/Ids.h"

namespace lagoonspoke {

// Separates an instance's id, which never has it, from what tells its processes apart.
inline constexpr char processSeparator = '~';

// The instance of a process name such as "edge-1~3fdeb107e007".
inline InstanceId instanceOfProcess(const InstanceId& process)
{
    return InstanceId(process.value().substr(0, process.value().find(processSeparator)));
}

} // namespace lagoonspoke
