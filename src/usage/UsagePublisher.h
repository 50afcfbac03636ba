#pragma once

#include <optional>

#include "usage/UsageMessages.h"

namespace lagoonspoke {

// Brings facts into the object store and follows them until a seal contains them: each goes into the record of its
// own window; if another record is there, or the seal missed it, into that of a later window. Owned by UsageLedger.
class UsagePublisher {
public:
    struct Record {
        WindowNumber key = 0;
        bool carried = false; // facts on windows before the key
        UsageWindowRecord record;

        // Under which it is stored.
        std::string objectKey() const;
    };

    // Adds a fact, or replaces one on the same window that contains less.
    void add(const InstanceId& writer, const UsageFact&);
    // The next record to create: of facts on a window before the given one, or of facts that missed their seal.
    std::optional<Record> nextRecord(WindowNumber before) const;
    // The record is stored under its key, by this process or with the same content by another.
    void handleStored(const Record&);
    // Another record has the key.
    void handleOccupied(const Record& attempted, const UsageWindowRecord& existing);
    void handleSeal(const SealedWindow&);
    // The store may have lost the records.
    void forgetStored();
    // The earliest window whose seal should contain a fact.
    std::optional<WindowNumber> awaitedSeal() const;
    bool hasUnstored(const InstanceId& writer) const;
    bool empty() const { return m_entries.empty(); }

private:
    struct Entry {
        UsageFact fact;
        WindowNumber key = 0; // window of the record that the fact is, or goes, in
        bool stored = false;
        int missedSeals = 0;
        bool isCarried() const { return fact.window < key; }
    };

    // Where the sealer is ahead, the seal of the next window may be there before a record for it. Each miss doubles the
    // distance, so that the record is in time at last.
    static constexpr int mostDoublings = 3;

    void carry(Entry&) const;

    std::map<std::pair<InstanceId, WindowNumber>, Entry> m_entries;
    WindowNumber m_lastSeal = -1;
};

} // namespace lagoonspoke
