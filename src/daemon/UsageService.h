#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "daemon/PeerService.h"
#include "external/ObjectStore.h"
#include "external/UsageReporter.h"
#include "lagoonspoke/usage/UsageRecord.h"
#include "usage/SealHistory.h"
#include "usage/SteadyWallClock.h"
#include "usage/UsageLedger.h"
#include "usage/UsageSealer.h"

namespace lagoonspoke {

// Counts usage, keeps copies of it and, under the lease on usage, seals and reports it.
// Owned by the Daemon; used on the control thread only, but for record().
class UsageService {
public:
    struct Options {
        InstanceId instance;
        InstanceId writer; // unique for each process; without '/', as it is part of a key
        DataCentreId dataCentre;
        RegionId region;
        Duration window = std::chrono::seconds(60);
        // Time after the end of a window for the instances to write their records.
        Duration sealGrace = std::chrono::seconds(5);
        // The same at most, after an outage or a change of the holder.
        Duration sealLatest = std::chrono::hours(1);
        // Time after the end of a window at which its report is late.
        Duration reportDue = std::chrono::hours(1);
        // Time after the loss of the lease on usage in which no other process can have gained it.
        Duration leaseExclusiveTime {};
    };
    using SendToPeer = std::function<void(const InstanceId&, std::string payload)>;
    using MayAct = std::function<std::optional<FencingToken>()>;

    // The reporter may be null. SendToPeer sends on PeerChannel::Usage. MayAct is asked directly before each write
    // under the lease on usage.
    UsageService(asio::io_context&, Options, ObjectStorePtr, UsageReporterPtr, SendToPeer, MayAct);
    ~UsageService();

    void start();
    // Counts one attempt. Callable from any thread; returns there once a peer holds a copy, or after 50 ms.
    asio::awaitable<void> record(UsageRecord);
    // A message from a peer on PeerChannel::Usage.
    void receive(const InstanceId& from, std::string_view payload);
    // Chooses copy holders and notices dead instances. Call it at every change of the members.
    void applyMembers(const std::vector<Member>&);
    // The lease on usage was gained, or lost when there is no token.
    void applyLease(std::optional<FencingToken>);
    // Counts nothing more, writes what is not in the object store yet and gives it to peers as well, within the bound.
    asio::awaitable<void> handOver(Duration bound);

private:
    struct Waiting {
        explicit Waiting(asio::io_context& io)
            : timer(io)
        {
        }
        asio::steady_timer timer;
        bool done = false;
    };

    asio::awaitable<void> run();
    asio::awaitable<void> recordHere(UsageRecord);
    void drive(const UsageLedgerEvent&);
    void execute(std::vector<UsageLedgerAction>);
    void execute(std::vector<UsageSealerAction>);
    void readClock();
    void wakeEarlier();
    void noteMember(const Member&);
    // Notices that the store was restored from a copy; called before an answer of the store is taken.
    void noteRestorations();
    void keepSeal(WindowNumber, const std::string& value);
    // Writes the kept seals again that the store lost.
    asio::awaitable<void> restoreSeals();
    template <typename Call> void startForLedger(Call);
    template <typename Call> void startForSealer(Call);
    asio::awaitable<UsageAnswer> carryOut(ListUsageKeys);
    asio::awaitable<UsageAnswer> carryOut(ReadUsageObject);
    asio::awaitable<UsageAnswer> carryOut(CreateUsageObject);
    asio::awaitable<UsageAnswer> carryOut(RemoveUsageObject);
    asio::awaitable<UsageAnswer> carryOut(SendUsageReport);

    asio::io_context& m_io;
    Options m_options;
    ObjectStorePtr m_store;
    UsageReporterPtr m_reporter;
    SendToPeer m_send;
    MayAct m_mayAct;
    UsageLedger m_ledger;
    UsageSealer m_sealer;
    asio::steady_timer m_timer;
    SteadyWallClock m_clock;
    std::map<std::uint64_t, std::shared_ptr<Waiting>> m_waiting;
    std::uint64_t m_lastWaiter = 0;
    std::map<InstanceId, std::uint64_t> m_incarnations; // of members that are not dead
    std::uint64_t m_restorations = 0; // of the store
    SealHistory m_seals;
    bool m_restoringSeals = false;
    std::vector<InstanceId> m_otherSealers; // that may gain the lease on usage next
};

} // namespace lagoonspoke
