#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "lagoonspoke/core/Error.h"
#include "usage/UsageFigures.h"

namespace lagoonspoke {

// Value of "usage/WINDOW/WRITER": facts on the usage that one process counted, in this window or left over from
// earlier ones. The process itself or a holder of copies writes it; the first write stays.
struct UsageWindowRecord {
    InstanceId writer;
    // Every fact on an earlier window has been sealed. Zero when a holder of copies wrote the record.
    WindowNumber completeBelow = 0;
    std::vector<UsageFact> facts;

    bool operator==(const UsageWindowRecord&) const = default;
};

// Value of "usage/WINDOW/sealed": what each team is billed in the window, and which facts are contained in this seal
// or any before it.
struct SealedWindow {
    struct Writer {
        WindowNumber completeBelow = 0;
        // By window; the figures are kept only while a fact with a higher number may still arrive.
        std::map<WindowNumber, UsageFact> included;

        bool operator==(const Writer&) const = default;
    };

    WindowNumber window = 0;
    TeamFigures teams;
    std::map<InstanceId, Writer> writers;
    // How often the store was restored from a copy before the seal was made.
    std::uint64_t restorations = 0;
    // Windows up to this one that were sealed after that restoration are not reported: the store may have lost their
    // seals, and their reports may have been sent with other figures.
    WindowNumber withheldUntil = 0;

    bool isWithheld() const { return window <= withheldUntil; }
    bool operator==(const SealedWindow&) const = default;
};

// Text form, one item a line. Errors: ProtocolViolation.
std::string encodeUsageRecord(const UsageWindowRecord&);
Outcome<UsageWindowRecord> decodeUsageRecord(std::string_view);
std::string encodeSealedWindow(const SealedWindow&);
Outcome<SealedWindow> decodeSealedWindow(std::string_view);

std::string usageRecordKey(WindowNumber, const InstanceId& writer);
// The record of facts on earlier windows that missed their seal. It has a key of its own, as the record on the window
// itself comes later.
std::string usageCarriedKey(WindowNumber, const InstanceId& writer);
std::string sealedWindowKey(WindowNumber);
std::string reportedWindowKey(WindowNumber);

struct UsageKey {
    WindowNumber window = 0;
    std::string name; // of a writer, "sealed" or "reported"
};

// Nothing for keys of another form.
std::optional<UsageKey> parseUsageKey(std::string_view key);

} // namespace lagoonspoke
