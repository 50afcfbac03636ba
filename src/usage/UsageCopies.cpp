#include "usage/UsageCopies.h"

#include <algorithm>

#include "usage/UsageSeal.h"

namespace lagoonspoke {

namespace {

void merge(UsageFact& held, const UsageFact& change)
{
    if (change.sequence < held.sequence) {
        return;
    }
    held.window = change.window;
    held.sequence = change.sequence;
    held.final = held.final || change.final;
    for (const auto& [team, figures] : change.teams) {
        held.teams[team] = figures;
    }
}

} // namespace

UsageCopyAck UsageCopies::accept(const InstanceId& from, const UsageCopy& copy)
{
    // A new process of the same instance replaces the one before.
    for (auto& [writer, held] : m_writers) {
        if (held.instance == from && writer != copy.writer) {
            held.dead = true;
        }
    }
    auto& held = m_writers[copy.writer];
    held.instance = from;
    held.dead = copy.leaving;
    if (copy.base <= held.sequence) {
        for (const auto& fact : copy.facts) {
            merge(held.facts[fact.window], fact);
        }
        held.sequence = std::max(held.sequence, copy.sequence);
    }
    held.facts.erase(held.facts.begin(), held.facts.lower_bound(copy.completeBelow));
    return { copy.writer, held.sequence };
}

void UsageCopies::markDead(const InstanceId& instance)
{
    for (auto& [writer, held] : m_writers) {
        held.dead = held.dead || held.instance == instance;
    }
}

std::vector<UsageCopies::Orphan> UsageCopies::orphans() const
{
    std::vector<Orphan> orphans;
    for (const auto& [writer, held] : m_writers) {
        if (held.dead) {
            for (const auto& [window, fact] : held.facts) {
                orphans.push_back({ writer, fact });
            }
        }
    }
    return orphans;
}

std::vector<UsageCopy> UsageCopies::orphanCopies() const
{
    std::vector<UsageCopy> copies;
    for (const auto& [writer, held] : m_writers) {
        if (held.dead && !held.facts.empty()) {
            auto& copy = copies.emplace_back(UsageCopy { writer, 0, held.sequence, 0, true, {} });
            for (const auto& [window, fact] : held.facts) {
                copy.facts.push_back(fact);
            }
        }
    }
    return copies;
}

void UsageCopies::dropIncluded(const SealedWindow& sealed)
{
    for (auto& [writer, held] : m_writers) {
        std::erase_if(
            held.facts, [&id = writer, &sealed](const auto& it) { return isIncluded(sealed, id, it.second); });
    }
    std::erase_if(m_writers, [](const auto& it) { return it.second.dead && it.second.facts.empty(); });
}

std::set<InstanceId> UsageCopies::instances() const
{
    std::set<InstanceId> instances;
    for (const auto& [writer, held] : m_writers) {
        instances.insert(held.instance);
    }
    return instances;
}

} // namespace lagoonspoke
