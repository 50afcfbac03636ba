#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "lagoonspoke/core/FencingToken.h"
#include "lagoonspoke/core/Time.h"
#include "usage/UsageObjects.h"

namespace lagoonspoke {

// Copy of what a process counted since the increment with the number "base", for a holder that has everything up to
// it. Figures are totals of the window, so that applying a copy again changes nothing.
struct UsageCopy {
    InstanceId writer;
    std::uint64_t base = 0;
    std::uint64_t sequence = 0; // the holder has everything up to this increment once it applied the copy
    WindowNumber completeBelow = 0; // facts on earlier windows are sealed and can be dropped
    // The process ends, or the store refuses its records: the holder takes over what is not sealed.
    bool leaving = false;
    std::vector<UsageFact> facts; // only the teams that changed

    bool operator==(const UsageCopy&) const = default;
};

// The holder has everything up to this increment of the writer.
struct UsageCopyAck {
    InstanceId writer;
    std::uint64_t sequence = 0;

    bool operator==(const UsageCopyAck&) const = default;
};

// A seal as it is stored, for those who may have to write it again after the store was restored from a copy.
struct UsageSealCopy {
    WindowNumber window = 0;
    std::string value;

    bool operator==(const UsageSealCopy&) const = default;
};

using UsageMessage = std::variant<UsageCopy, UsageCopyAck, UsageSealCopy>;

// The store came back from a copy: what it acknowledged in the seconds before may be gone.
struct UsageStoreRestored {
    std::uint64_t restorations = 0;
};

struct UsageReport {
    WindowNumber window = 0;
    std::string id; // the same whoever sends it, so that repeats are harmless
    FencingToken token {};
    // One team, or all of the window where the receiver takes whole windows.
    TeamFigures teams;
};

// Calls to the object store and the usage interface. Each is answered by a UsageAnswer with the same number.
struct ListUsageKeys {
    std::uint64_t call = 0;
    std::string prefix;
};
struct ReadUsageObject {
    std::uint64_t call = 0;
    std::string key;
};
struct CreateUsageObject {
    std::uint64_t call = 0;
    std::string key;
    std::string value;
};
struct RemoveUsageObject {
    std::uint64_t call = 0;
    std::string key;
    std::uint64_t version = 0;
};
struct SendUsageReport {
    std::uint64_t call = 0;
    UsageReport report;
};

struct UsageAnswer {
    enum class Status {
        Done,
        Missing, // the object does not exist
        Refused, // the object exists already
        Failed, // no answer, or none that says whether the call took effect
    };
    struct Entry {
        std::string key;
        std::uint64_t version = 0;
        std::optional<std::string> value = {}; // where the list gives values
    };
    std::uint64_t call = 0;
    Status status = Status::Done;
    std::string value;
    std::vector<Entry> entries;
};

} // namespace lagoonspoke
