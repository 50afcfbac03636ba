#pragma once

#include <map>
#include <set>
#include <string>

#include "usage/UsageFigures.h"

namespace lagoonspoke {

// The newest seals that this process made, read or was told of, as they are stored. A store that is restored from a
// copy lacks the last ones, whose reports were sent. Owned by UsageService.
class SealHistory {
public:
    void add(WindowNumber, std::string value);
    // Those that the store lacks, by window, when it has seals of the given windows.
    std::map<WindowNumber, std::string> missing(const std::set<WindowNumber>& stored) const;
    bool empty() const { return m_seals.empty(); }

private:
    std::map<WindowNumber, std::string> m_seals;
};

} // namespace lagoonspoke
