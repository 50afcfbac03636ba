#pragma once

#include <set>

#include "usage/UsageMessages.h"

namespace lagoonspoke {

// Copies of other processes' usage, held until a seal contains it. Owned by UsageLedger.
class UsageCopies {
public:
    struct Orphan {
        InstanceId writer;
        UsageFact fact;
    };

    // Applies a copy from the instance, unless it builds on increments that never arrived here.
    UsageCopyAck accept(const InstanceId& from, const UsageCopy&);
    // The instance's processes so far are believed dead. They may turn out to run.
    void markDead(const InstanceId&);
    // Facts of processes that are believed dead.
    std::vector<Orphan> orphans() const;
    // The same as copies for other holders, each with all that no seal contains.
    std::vector<UsageCopy> orphanCopies() const;
    void dropIncluded(const SealedWindow&);
    std::set<InstanceId> instances() const;

private:
    struct Held {
        InstanceId instance;
        std::uint64_t sequence = 0;
        bool dead = false;
        std::map<WindowNumber, UsageFact> facts;
    };

    std::map<InstanceId, Held> m_writers;
};

} // namespace lagoonspoke
