#pragma once

#include "usage/UsageCopies.h"
#include "usage/UsageCounter.h"
#include "usage/UsagePublisher.h"

namespace lagoonspoke {

// One finished attempt at a request. The waiter is told once a copy holder has it.
struct UsageCounted {
    TeamId team;
    UsageFigures figures;
    std::uint64_t waiter = 0;
};
struct UsageWindowOpened {
    WindowNumber window = 0;
};
struct UsageMessageReceived {
    InstanceId from;
    UsageMessage message;
};
// The peers that hold copies of this process's usage from now on, in other data centres where there are any.
struct CopyHoldersChanged {
    std::vector<InstanceId> holders;
};
struct InstanceDied {
    InstanceId instance;
};
// This process ends: it counts nothing more, and its peers take over what is not sealed.
struct UsageHandOver { };

using UsageLedgerEvent = std::variant<UsageCounted, UsageWindowOpened, UsageMessageReceived, CopyHoldersChanged,
    InstanceDied, UsageHandOver, UsageStoreRestored, UsageAnswer>;

struct SendUsageMessage {
    InstanceId to;
    UsageMessage message;
};
// The waiter's usage is held elsewhere, or the wait has lasted as long as it may.
struct UsageAcknowledged {
    std::uint64_t waiter = 0;
    bool copied = false;
};

using UsageLedgerAction = std::variant<SendUsageMessage, UsageAcknowledged, ReadUsageObject, CreateUsageObject>;

// Keeps one process's usage from the moment it is counted until a seal contains it, and copies of others' usage.
// Pure; owned by UsageService.
class UsageLedger {
public:
    struct Options {
        InstanceId writer; // unique for each process
        Duration copyWait = std::chrono::milliseconds(50);
        Duration resendInterval = std::chrono::seconds(1);
        // Doubles with each failure in a row up to the longest one; calls that fail are billed as well.
        Duration storeRetryInterval = std::chrono::seconds(1);
        Duration longestStoreRetryInterval = std::chrono::seconds(3);
        // From the first record that awaits a seal until one is read, and between two reads. One seal tells all that
        // the seals before it contain.
        Duration sealPollInterval = std::chrono::seconds(2);
    };

    static UsageLedger Make(Options);

    std::vector<UsageLedgerAction> handle(const UsageLedgerEvent&, MonotonicTime now);
    std::vector<UsageLedgerAction> advance(MonotonicTime now);
    std::optional<MonotonicTime> nextWakeup() const;

    // Whether everything counted here is stored in records, though perhaps not sealed.
    bool isFlushed() const { return !m_publisher.hasUnstored(m_options.writer); }
    // Whether a peer holds a copy of everything that is not sealed, or there is no peer. After the hand-over this
    // includes the copies that this process held for others that are gone.
    bool isCopied() const;
    // Whether a seal contains everything that was counted here.
    bool isSettled() const { return m_counter.empty(); }

private:
    struct Waiter {
        std::uint64_t id = 0;
        std::uint64_t sequence = 0;
        MonotonicTime deadline;
    };
    struct Holder {
        std::uint64_t acknowledged = 0;
        std::map<InstanceId, std::uint64_t> acknowledgedOrphans; // by writer, after the hand-over
        MonotonicTime nextSend;
    };

    explicit UsageLedger(Options);

    void count(const UsageCounted&);
    void receive(const InstanceId& from, const UsageCopy&);
    void receive(const InstanceId& from, const UsageCopyAck&);
    void receive(const InstanceId&, const UsageSealCopy&) { } // kept by UsageService
    // Writes the records again that no seal contains yet.
    void rewriteRecords();
    void changeHolders(const std::vector<InstanceId>&);
    void sendCopies(const InstanceId& holder);
    void sendCopiesToAll();
    void handOver();
    void openWindow(WindowNumber);
    void collectFacts();
    void answerWaiters();
    void resendCopies();
    void startCalls();
    void handleAnswer(const UsageAnswer&);
    void handleCreated(const UsageAnswer&);
    void setStoreRefuses(bool);
    void handleExisting(const UsageAnswer&);
    void handleSeal(const UsageAnswer&);
    bool isAwaitingCopies(const Holder&) const;
    // Copies of processes that are gone which the holder does not have; empty before the hand-over.
    std::vector<UsageCopy> missingOrphans(const Holder&) const;
    // Records of windows before this one may be written.
    WindowNumber closedBefore() const { return m_counter.window(); }

    Options m_options;
    MonotonicTime m_now;
    std::vector<UsageLedgerAction> m_actions;
    UsageCounter m_counter;
    UsageCopies m_copies;
    UsagePublisher m_publisher;
    std::vector<Waiter> m_waiters;
    std::map<InstanceId, Holder> m_holders;
    bool m_leaving = false;
    bool m_storeRefuses = false; // the last record could not be written
    bool m_factsChanged = false;

    std::uint64_t m_lastCall = 0;
    std::optional<UsagePublisher::Record> m_creating;
    std::uint64_t m_createCall = 0;
    MonotonicTime m_nextCreate;
    Duration m_createRetry {}; // zero after a success
    bool m_readingSeal = false;
    bool m_readingNewest = false; // in the read that runs
    WindowNumber m_sealLag; // windows by which the newest seal is believed to be behind this process's window
    std::uint64_t m_sealCall = 0;
    MonotonicTime m_nextSealRead;
};

} // namespace lagoonspoke
