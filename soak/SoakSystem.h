#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "soak/FaultPlan.h"
#include "soak/PromiseLedger.h"
#include "tools/scenario/Testbed.h"

namespace lagoonspoke::soak {

// The system under test: stand-ins, daemons d0, d1, ... and engines e0, e1, ..., each behind proxies that can fail.
// Restarts what ends, and tells the ledger what it does to whom. Owned by SoakRun; used on its io_context only.
class SoakSystem {
public:
    struct Options {
        SoakSize size;
        std::string programDirectory;
        std::string workDirectory;
    };

    SoakSystem(asio::io_context&, Options, PromiseLedger&);

    asio::awaitable<Outcome<void>> start();
    // Submits ticket 1.
    asio::awaitable<bool> submitFirst(std::string file);
    // Plays one fault from its beginning to its end.
    asio::awaitable<void> play(PlannedFault);
    // Kills every daemon and starts them again.
    asio::awaitable<void> killAll();
    // Stops every daemon with SIGTERM; each must end with exit code 0.
    asio::awaitable<void> stopAll();
    // Once: readiness and configuration of each daemon, and whether a process ended by itself.
    void observe();

    // Indexes of the daemons to which a load balancer sends new connections.
    std::vector<int> rotation() const;
    bool areAllReady() const;
    // The address for callers of a daemon.
    std::string callerAddress(int daemon) const;
    static std::string nameOf(int daemon) { return "d" + std::to_string(daemon); }
    Testbed& testbed() { return m_testbed; }
    const Options& options() const { return m_options; }

private:
    struct Daemon {
        std::unique_ptr<FaultProxy> callers;
        std::unique_ptr<FaultProxy> store;
        int starts = 0;
        bool restarting = false; // from the end of a process until the next one listens
        bool starting = false; // the next process does not listen yet
        bool killed = false;
        bool terminated = false;
        bool ready = false;
        int disturbances = 0;
    };

    asio::awaitable<void> wait(Duration);
    asio::awaitable<Outcome<void>> startDaemon(int daemon);
    asio::awaitable<Outcome<void>> startEngine(int engine);
    asio::awaitable<void> restartDaemon(int daemon);
    asio::awaitable<void> awaitRestarts();
    asio::awaitable<void> observeDaemon(int daemon);
    asio::awaitable<bool> awaitExit(std::string name, Duration bound);
    void kill(int daemon);
    // Counts disturbances of the daemon, or of all for -1; the ledger hears of the first and the last.
    void disturb(int daemon, bool begins);
    FaultProxy& proxyOf(const LinkOf&);
    asio::awaitable<void> postFault(std::string name, std::string field, boost::json::value value);

    asio::awaitable<void> apply(KillDaemon, Duration);
    asio::awaitable<void> apply(RestartDaemon, Duration);
    asio::awaitable<void> apply(PauseDaemon, Duration);
    asio::awaitable<void> apply(KillAllDaemons, Duration);
    asio::awaitable<void> apply(KillEngine, Duration);
    asio::awaitable<void> apply(EngineFault, Duration);
    asio::awaitable<void> apply(LoseServiceAnswers, Duration);
    asio::awaitable<void> apply(EngineLeaves, Duration);
    asio::awaitable<void> apply(StoreDown, Duration);
    asio::awaitable<void> apply(StoreSlow, Duration);
    asio::awaitable<void> apply(LoseStoreAnswers, Duration);
    asio::awaitable<void> apply(UsageInterfaceDown, Duration);
    asio::awaitable<void> apply(BreakLink, Duration);
    asio::awaitable<void> apply(ResetLink, Duration);
    asio::awaitable<void> apply(SubmitTicket, Duration);
    asio::awaitable<void> apply(RaceTickets, Duration);
    asio::awaitable<void> apply(WithdrawKey, Duration);

    // Submits a ticket on a team until the store has answered; false if it did not within the bound.
    asio::awaitable<bool> changeTeam(std::string team, int weight, bool withKey);
    asio::awaitable<int> submit(std::string file);
    std::string writeTicket(const std::string& name, const std::string& team, int weight, bool withKey) const;
    asio::awaitable<void> lockTickets();

    asio::io_context& m_io;
    Options m_options;
    PromiseLedger& m_ledger;
    Testbed m_testbed;
    std::vector<Daemon> m_daemons;
    std::vector<std::unique_ptr<FaultProxy>> m_engines;
    std::map<std::string, int> m_active; // faults of one kind that last, by what they are played on
    std::int64_t m_nextTicket = 1;
    bool m_ticketsLocked = false;
    bool m_stopping = false;
};

} // namespace lagoonspoke::soak
