#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "lagoonspoke/core/Time.h"
#include "tools/client/StreamingCall.h"

namespace lagoonspoke::soak {

enum class CallKind {
    Stream, // of a model engine; may be repeated and resumed
    Whole, // the same without a stream
    Booking, // of the service; must not run twice
    Lookup, // of the service; may be repeated
};

// One call that ended, as its caller saw it.
struct CallRecord {
    std::string id; // unique; the path of a call to the service
    CallKind kind = CallKind::Stream;
    std::string team;
    std::string daemon;
    MonotonicTime started;
    MonotonicTime ended;
    std::int64_t askedTokens = 0;
    bool left = false; // the caller closed the connection itself
    CallResult result;
};

// What the usage interface took for one team.
struct ReportedUsage {
    std::int64_t requests = 0;
    std::int64_t outputTokens = 0;
};

// Checks the system's promises from what callers and backend servers saw. Pure; owned by SoakRun.
class PromiseLedger {
public:
    struct Bounds {
        // An accepted configuration is in force everywhere within this time.
        Duration configuration = std::chrono::seconds(10);
        // After a fault, an instance may act on what it knew before for this long.
        Duration contact = std::chrono::seconds(5);
        // Share of a team's completed requests that reports may lack, when instances are killed.
        double usageShare = 0.05;
        // Usage that is not yet in the store is lost when all instances die at once: a window and the time of a write.
        // Time in which the store is down does not count.
        Duration unrecorded = std::chrono::seconds(2);
    };

    explicit PromiseLedger(Bounds);

    // A key of the team stopped or began to be valid.
    void noteKey(const std::string& team, bool valid, MonotonicTime now);
    // The daemon, or its way to the callers or to the store, is disturbed; or no longer.
    void noteDisturbance(const std::string& daemon, bool disturbed, MonotonicTime now);
    // The process was killed: what it had not handed on is lost.
    void noteKill(const std::string& daemon, MonotonicTime now);
    void noteKillOfAll(MonotonicTime now);
    void noteStoreDown(bool down, MonotonicTime now);
    void noteCall(CallRecord);
    // The number of the configuration in force on one process, whose name is unique for each start.
    void noteConfiguration(const std::string& process, std::int64_t number);

    // Checks of the end. Effects are counted by path.
    void checkEffects(const std::map<std::string, int>& effects);
    void checkUsage(const std::map<std::string, ReportedUsage>&);
    // Whether the usage that must be reported is there; more may come.
    bool isUsageWhole(const std::map<std::string, ReportedUsage>&) const;
    // A promise that is checked where it is seen.
    void require(bool holds, const std::string& violation);

    const std::vector<std::string>& violations() const { return m_violations; }
    std::size_t calls() const { return m_calls.size(); }
    std::size_t completed() const { return m_completed; }

private:
    struct Disturbance {
        bool disturbed = false;
        MonotonicTime changed;
    };
    struct KeyChange {
        MonotonicTime at;
        bool valid = false;
    };

    struct UsageSpan {
        std::string team;
        const char* what;
        double least = 0;
        std::int64_t most = 0;
        std::int64_t reported = 0;
    };

    std::vector<UsageSpan> compareUsage(const std::map<std::string, ReportedUsage>&) const;
    struct Outage {
        MonotonicTime from;
        MonotonicTime to; // MonotonicTime::max() while it lasts
    };

    // How long the store was up between the two.
    Duration storeTime(MonotonicTime from, MonotonicTime to) const;
    // Whether the usage of a call that ended then may be lost.
    bool mayBeUnrecorded(MonotonicTime ended) const;
    void checkAnswer(const CallRecord&);
    void checkKey(const CallRecord&);
    bool isCalm(const std::string& daemon, MonotonicTime from) const;
    bool wasKilled(const std::string& daemon, MonotonicTime from, MonotonicTime to) const;
    // Whether the key was valid, or not, all the time, changes being known late by the bound.
    bool wasKeyAlways(const std::string& team, bool valid, MonotonicTime from, MonotonicTime to) const;
    void violate(const CallRecord&, const std::string& promise);

    Bounds m_bounds;
    std::vector<CallRecord> m_calls;
    std::size_t m_completed = 0;
    std::map<std::string, std::vector<KeyChange>> m_keys; // by team, in order of time
    std::map<std::string, Disturbance> m_disturbances; // by daemon
    std::multimap<std::string, MonotonicTime> m_kills;
    std::vector<MonotonicTime> m_killsOfAll;
    std::vector<Outage> m_outages; // of the store, one after the other
    std::map<std::string, std::int64_t> m_configurations; // by process
    std::vector<std::string> m_violations;
};

} // namespace lagoonspoke::soak
