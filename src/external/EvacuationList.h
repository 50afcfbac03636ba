#pragma once

#include <cstdint>
#include <set>

#include "lagoonspoke/core/Ids.h"

namespace lagoonspoke {

// The data centres that operators want no more requests sent to, at one revision of the store.
struct EvacuationList {
    std::uint64_t revision = 0;
    std::set<DataCentreId> dataCentres;
};

} // namespace lagoonspoke
