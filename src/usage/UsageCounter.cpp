#include "usage/UsageCounter.h"

#include <algorithm>

#include "usage/UsageSeal.h"

namespace lagoonspoke {

namespace {

// A team's figures take some 60 bytes, and a message between instances has at most 1 MiB.
constexpr std::size_t maxTeamsPerCopy = 5000;

} // namespace

UsageCounter::UsageCounter(InstanceId writer)
    : m_writer(std::move(writer))
{
}

void UsageCounter::openWindow(WindowNumber window)
{
    m_window = std::max(m_window, window);
    for (auto& [number, counted] : m_facts) {
        counted.fact.final = number < m_window;
    }
}

std::uint64_t UsageCounter::count(const TeamId& team, const UsageFigures& figures)
{
    auto& counted = m_facts[m_window];
    counted.fact.window = m_window;
    counted.fact.sequence = ++m_sequence;
    counted.fact.teams[team] += figures;
    counted.changed[team] = m_sequence;
    return m_sequence;
}

UsageFact UsageCounter::changesSince(const Counted& counted, std::uint64_t base) const
{
    UsageFact fact;
    fact.window = counted.fact.window;
    fact.sequence = counted.fact.sequence;
    fact.final = counted.fact.final;
    for (const auto& [team, sequence] : counted.changed) {
        if (sequence > base) {
            fact.teams[team] = counted.fact.teams.at(team);
        }
    }
    return fact;
}

std::vector<UsageCopy> UsageCounter::makeCopies(std::uint64_t base) const
{
    std::vector<UsageCopy> copies;
    copies.push_back({ m_writer, base, base, completeBelow(), false, {} });
    std::size_t teams = 0;
    for (const auto& [window, counted] : m_facts) {
        if (counted.fact.sequence <= base) {
            continue;
        }
        auto fact = changesSince(counted, base);
        if (teams > 0 && teams + fact.teams.size() > maxTeamsPerCopy) {
            copies.push_back({ m_writer, base, base, completeBelow(), false, {} });
            teams = 0;
        }
        teams += fact.teams.size();
        copies.back().facts.push_back(std::move(fact));
    }
    copies.back().sequence = m_sequence;
    return copies;
}

std::vector<UsageFact> UsageCounter::closedFacts() const
{
    std::vector<UsageFact> facts;
    for (const auto& [window, counted] : m_facts) {
        if (counted.fact.final) {
            facts.push_back(counted.fact);
        }
    }
    return facts;
}

void UsageCounter::dropIncluded(const SealedWindow& sealed)
{
    std::erase_if(
        m_facts, [&](const auto& it) { return it.second.fact.final && isIncluded(sealed, m_writer, it.second.fact); });
}

} // namespace lagoonspoke
