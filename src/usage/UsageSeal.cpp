#include "usage/UsageSeal.h"

#include <algorithm>

namespace lagoonspoke {

namespace {

void include(SealedWindow& sealed, const InstanceId& id, const UsageFact& fact)
{
    if (isIncluded(sealed, id, fact)) {
        return;
    }
    auto& included = sealed.writers[id].included[fact.window];
    for (const auto& [team, figures] : fact.teams) {
        auto missing = figures;
        if (auto it = included.teams.find(team); it != included.teams.end()) {
            missing -= it->second;
        }
        if (missing != UsageFigures {}) {
            sealed.teams[team] += missing;
        }
    }
    included = fact;
    if (fact.final) {
        included.teams.clear();
    }
}

bool isForgotten(const SealedWindow::Writer& writer, WindowNumber window)
{
    auto last = writer.completeBelow;
    if (!writer.included.empty()) {
        last = std::max(last, writer.included.rbegin()->first);
    }
    return last + sealMemoryWindows < window;
}

} // namespace

bool isIncluded(const SealedWindow& sealed, const InstanceId& id, const UsageFact& fact)
{
    auto writer = sealed.writers.find(id);
    if (writer == sealed.writers.end()) {
        return false;
    }
    if (fact.window < writer->second.completeBelow) {
        return true;
    }
    auto it = writer->second.included.find(fact.window);
    return it != writer->second.included.end() && it->second.sequence >= fact.sequence;
}

SealedWindow sealWindow(
    const SealedWindow& previous, WindowNumber window, const std::vector<UsageWindowRecord>& records)
{
    SealedWindow sealed;
    sealed.window = window;
    sealed.writers = previous.writers;
    for (const auto& record : records) {
        for (const auto& fact : record.facts) {
            include(sealed, record.writer, fact);
        }
        auto& writer = sealed.writers[record.writer];
        writer.completeBelow = std::max(writer.completeBelow, record.completeBelow);
        writer.included.erase(writer.included.begin(), writer.included.lower_bound(writer.completeBelow));
    }
    std::erase_if(sealed.writers, [&](const auto& it) { return isForgotten(it.second, window); });
    return sealed;
}

} // namespace lagoonspoke
