#pragma once

#include "usage/UsageObjects.h"

namespace lagoonspoke {

// What a process that kept no facts for this many windows may still write is not expected to turn up.
inline constexpr WindowNumber sealMemoryWindows = 10000;

// The seal that follows the previous one, from all records of its window. Counts of every fact only what no earlier
// seal contains, so that a fact may be recorded any number of times, by anyone and in any window.
SealedWindow sealWindow(const SealedWindow& previous, WindowNumber, const std::vector<UsageWindowRecord>&);

// Whether this seal or one before it contains everything that the fact says.
bool isIncluded(const SealedWindow&, const InstanceId& writer, const UsageFact&);

} // namespace lagoonspoke
