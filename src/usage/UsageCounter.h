#pragma once

#include "usage/UsageMessages.h"

namespace lagoonspoke {

// What this process counted and no seal contains yet, in numbered increments. Owned by UsageLedger.
class UsageCounter {
public:
    explicit UsageCounter(InstanceId writer);

    // Later increments count in this window. Windows only go up, however the clock is set.
    void openWindow(WindowNumber);
    // Counts one finished attempt; gives the increment's number.
    std::uint64_t count(const TeamId&, const UsageFigures&);
    // What changed since the increment, in copies that fit a message each; the last one carries the newest number.
    std::vector<UsageCopy> makeCopies(std::uint64_t base) const;
    // Facts on windows that this process counts no more in.
    std::vector<UsageFact> closedFacts() const;
    void dropIncluded(const SealedWindow&);

    const InstanceId& writer() const { return m_writer; }
    WindowNumber window() const { return m_window; }
    std::uint64_t sequence() const { return m_sequence; }
    // Every fact on an earlier window is sealed.
    WindowNumber completeBelow() const { return m_facts.empty() ? m_window : m_facts.begin()->first; }
    bool empty() const { return m_facts.empty(); }

private:
    struct Counted {
        UsageFact fact;
        std::map<TeamId, std::uint64_t> changed; // number of the team's last increment
    };

    UsageFact changesSince(const Counted&, std::uint64_t base) const;

    InstanceId m_writer;
    WindowNumber m_window = 0;
    std::uint64_t m_sequence = 0;
    std::map<WindowNumber, Counted> m_facts;
};

} // namespace lagoonspoke
