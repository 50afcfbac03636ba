#include "usage/UsagePublisher.h"

#include <algorithm>

#include "usage/UsageSeal.h"

namespace lagoonspoke {

std::string UsagePublisher::Record::objectKey() const
{
    return carried ? usageCarriedKey(key, record.writer) : usageRecordKey(key, record.writer);
}

void UsagePublisher::add(const InstanceId& writer, const UsageFact& fact)
{
    auto [it, added] = m_entries.try_emplace({ writer, fact.window });
    auto& entry = it->second;
    if (added) {
        entry = { fact, fact.window };
        if (fact.window <= m_lastSeal) {
            carry(entry);
        }
    } else if (fact.sequence > entry.fact.sequence) {
        entry.fact = fact;
        entry.key += entry.stored ? 1 : 0;
        entry.stored = false;
    }
}

void UsagePublisher::carry(Entry& entry) const
{
    entry.key = m_lastSeal + (1 << std::min(entry.missedSeals, mostDoublings));
    entry.stored = false;
    ++entry.missedSeals;
}

std::optional<UsagePublisher::Record> UsagePublisher::nextRecord(WindowNumber before) const
{
    const InstanceId* writer = nullptr;
    Record next;
    for (const auto& [id, entry] : m_entries) {
        // A window's own facts are complete when it has ended here.
        bool due = entry.isCarried() || entry.key < before;
        if (!entry.stored && due && (writer == nullptr || entry.key < next.key)) {
            writer = &id.first;
            next.key = entry.key;
            next.carried = entry.isCarried();
        }
    }
    if (writer == nullptr) {
        return std::nullopt;
    }
    next.record.writer = *writer;
    for (const auto& [id, entry] : m_entries) {
        if (id.first == *writer && !entry.stored && entry.key == next.key && entry.isCarried() == next.carried) {
            next.record.facts.push_back(entry.fact);
        }
    }
    return next;
}

void UsagePublisher::handleStored(const Record& stored)
{
    handleOccupied(stored, stored.record);
}

void UsagePublisher::handleOccupied(const Record& attempted, const UsageWindowRecord& existing)
{
    for (const auto& fact : attempted.record.facts) {
        auto it = m_entries.find({ attempted.record.writer, fact.window });
        if (it == m_entries.end() || it->second.stored || it->second.key != attempted.key
            || it->second.isCarried() != attempted.carried) {
            continue;
        }
        auto& entry = it->second;
        entry.stored = std::any_of(existing.facts.begin(), existing.facts.end(), [&](const UsageFact& other) {
            return other.window == entry.fact.window && other.sequence >= entry.fact.sequence;
        });
        entry.key += entry.stored ? 0 : 1;
    }
}

void UsagePublisher::handleSeal(const SealedWindow& sealed)
{
    m_lastSeal = std::max(m_lastSeal, sealed.window);
    std::erase_if(m_entries, [&](const auto& it) { return isIncluded(sealed, it.first.first, it.second.fact); });
    for (auto& [id, entry] : m_entries) {
        if (entry.key <= sealed.window) {
            carry(entry);
        }
    }
}

void UsagePublisher::forgetStored()
{
    for (auto& [id, entry] : m_entries) {
        entry.stored = false;
    }
}

std::optional<WindowNumber> UsagePublisher::awaitedSeal() const
{
    std::optional<WindowNumber> window;
    for (const auto& [id, entry] : m_entries) {
        if (entry.stored && (!window || entry.key < *window)) {
            window = entry.key;
        }
    }
    return window;
}

bool UsagePublisher::hasUnstored(const InstanceId& writer) const
{
    return std::any_of(m_entries.begin(), m_entries.end(),
        [&](const auto& it) { return it.first.first == writer && !it.second.stored; });
}

} // namespace lagoonspoke
