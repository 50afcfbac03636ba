#pragma once

#include <deque>
#include <set>

#include "usage/UsageMessages.h"

namespace lagoonspoke {

// The lease on usage was gained, or lost when there is no token.
struct UsageLeaseChanged {
    std::optional<FencingToken> token;
};
// Where the wall clock stands: the window and the time since it began.
struct UsageClockRead {
    WindowNumber window = 0;
    Duration elapsed {};
};

// The instances that count usage and are not known to be dead.
struct UsageWritersKnown {
    std::set<InstanceId> instances;
};

// This process has a seal of the window, which it writes again when the store lost it.
struct UsageSealKept {
    WindowNumber window = 0;
};

using UsageSealerEvent = std::variant<UsageLeaseChanged, UsageClockRead, UsageWritersKnown, UsageStoreRestored,
    UsageSealKept, UsageAnswer>;
using UsageSealerAction
    = std::variant<ListUsageKeys, ReadUsageObject, CreateUsageObject, RemoveUsageObject, SendUsageReport>;

// Seals one window after the other, reports each from its seal and deletes old objects, while this process holds the
// lease on usage. Seals form a chain without gaps, each made from the one before, and are created on condition that
// they do not exist; two sealers at once therefore agree on every seal.
// A store that was restored from a copy lacks the last seals, though their reports were sent. Every process that kept
// some writes them again first. A window that nobody kept a seal of, and that another holder may have reported, is
// sealed but not reported. Pure; owned by UsageService.
class UsageSealer {
public:
    struct Options {
        // Time after the end of a window, and after an outage, for the instances to write their records.
        Duration grace = std::chrono::seconds(5);
        Duration retryInterval = std::chrono::seconds(1);
        // A window whose records are all there is sealed before the grace time has passed, so that an outage of the
        // store between the two does not make its report late. Records are looked for this long after the end of the
        // window, or after an instance died: by then those who hold its copies have recorded them.
        Duration earliestLook = std::chrono::milliseconds(1500);
        Duration lookInterval = std::chrono::seconds(1);
        Duration window {}; // length of a window; zero when nothing depends on it
        // Time after the end of a window at which it is sealed in any case, so that its report is not late.
        Duration latest = std::chrono::hours(1);
        // Time after the end of a window at which its report is late. A window that is late already waits for its
        // records until the next one is sealed in any case.
        Duration due = std::chrono::hours(1);
        // Part of it that is kept for the seal and the report when the records may still come.
        Duration reportTime = std::chrono::milliseconds(500);
        // Reported windows whose objects stay in the object store. Only a sealer that was paused, between the check of
        // its lease and a write, for longer than this many windows could seal a deleted window a second time.
        WindowNumber retention = 120;
        // Time after a restoration of the store for all processes to write the seals again that they kept.
        Duration restoreGrace = std::chrono::seconds(2);
        // Time after the loss of the lease in which no other process can have gained it.
        Duration exclusiveTime {};
        // One report for all teams of a window.
        bool reportsWholeWindows = false;
    };

    static UsageSealer Make(Options);

    std::vector<UsageSealerAction> handle(const UsageSealerEvent&, MonotonicTime now);
    std::vector<UsageSealerAction> advance(MonotonicTime now);
    std::optional<MonotonicTime> nextWakeup() const;

    // Windows that are sealed and not yet known to be reported.
    std::size_t unreportedWindows() const { return m_unreported.size(); }

private:
    enum class Step {
        Idle,
        Scanning,
        CreatingStart,
        ReadingStart,
        ReadingLastSeal,
        Ready,
        ListingRecords,
        ReadingRecords,
        CreatingSeal,
        ReadingOtherSeal,
        ReadingReported,
        Reporting,
        MarkingReported,
        ListingOld,
        RemovingOld,
    };

    explicit UsageSealer(Options);

    template <typename Call> void call(Step, Call);
    void changeLease(const std::optional<FencingToken>&);
    void restartScan();
    void noteRestored(const UsageStoreRestored&);
    // The newest seal is known; goes on unless others are expected to be written again.
    void acceptChain();
    void startNext();
    void startSealing(bool whenComplete);
    void setWriters(const std::set<InstanceId>&);
    void startReporting();
    void startRemoving();
    bool isSealDue() const;
    // Whether the window must be sealed now, whatever records are missing, so that its report is not late.
    bool isUrgent(Duration sinceEnd) const;
    bool isLookDue() const;
    // Whether every instance that counts usage has recorded the window.
    bool areRecordsComplete() const;
    bool isRemovalDue() const;
    bool isIdle() const { return m_step == Step::Idle || m_step == Step::Ready; }

    void handleAnswer(const UsageAnswer&);
    void fail();
    void finishScan(const UsageAnswer&);
    void finishStart(const UsageAnswer&);
    void finishLastSeal(const UsageAnswer&);
    void finishListing(const UsageAnswer&);
    void finishRecord(const UsageAnswer&);
    void readNextRecord();
    void takeRecord(const std::string& value);
    void createSeal();
    void finishSeal(const UsageAnswer&);
    void finishOtherSeal(const UsageAnswer&);
    void acceptSeal(SealedWindow);
    void finishReportedSeal(const UsageAnswer&);
    void sendNextReport();
    void finishReport(const UsageAnswer&);
    void finishMark(const UsageAnswer&);
    void finishOldListing(const UsageAnswer&);
    void removeNextOld();

    Options m_options;
    MonotonicTime m_now;
    std::vector<UsageSealerAction> m_actions;
    Step m_step = Step::Idle;
    std::uint64_t m_lastCall = 0;
    std::optional<FencingToken> m_token;
    std::optional<UsageClockRead> m_clock;
    MonotonicTime m_retryAt;
    MonotonicTime m_reportRetryAt;
    MonotonicTime m_sealNotBefore;
    MonotonicTime m_lookNotBefore;
    bool m_sealsWhenComplete = false; // the records being read
    std::set<InstanceId> m_instances;

    std::uint64_t m_restorations = 0;
    MonotonicTime m_scanNotBefore;
    bool m_waitedForSeals = false; // since the lease was gained or the store restored
    WindowNumber m_newestKept = 0;
    std::optional<MonotonicTime> m_lostAt; // the lease
    // Windows up to this one may have been reported by an earlier holder of the lease.
    WindowNumber m_reportedUntil = 0;
    bool m_scanned = false;
    SealedWindow m_last; // the newest seal known
    SealedWindow m_proposed;
    std::set<WindowNumber> m_unreported;
    WindowNumber m_oldest = 0; // no object of an earlier window exists
    std::deque<UsageAnswer::Entry> m_entries;
    std::vector<UsageWindowRecord> m_records;
    std::optional<SealedWindow> m_reporting; // without the teams that are reported already
    bool m_reported = false; // nothing of m_reporting is left to report
};

} // namespace lagoonspoke
