#pragma once

#include <random>

#include "soak/SoakSystem.h"

namespace lagoonspoke::soak {

// One run of the soak: callers that keep their connections, the faults of a seed, and the checks while it runs and at
// its end. Owned by the soak's main.
class SoakRun {
public:
    struct Options {
        std::uint64_t seed = 1;
        Duration length = std::chrono::seconds(30); // of the faults
        std::string configuration; // file of ticket 1
        bool verbose = false; // print each fault as it begins
        SoakSystem::Options system;
    };

    SoakRun(asio::io_context&, Options);

    // Whether every promise was kept; prints what was not.
    asio::awaitable<bool> run();

private:
    asio::awaitable<bool> prepare();
    asio::awaitable<void> observeAlways();
    asio::awaitable<void> playFaults();
    asio::awaitable<void> runCaller(int caller);
    asio::awaitable<void> makeCall(int caller, int daemon, KeptConnection&, std::mt19937_64&);
    asio::awaitable<void> checkCalm();
    asio::awaitable<void> checkRecovery();
    asio::awaitable<void> checkEnd();
    asio::awaitable<bool> awaitReady(Duration bound);
    asio::awaitable<std::map<std::string, int>> readEffects();
    asio::awaitable<Outcome<std::map<std::string, ReportedUsage>>> readUsage();
    asio::awaitable<void> wait(Duration);

    asio::io_context& m_io;
    Options m_options;
    PromiseLedger m_ledger;
    SoakSystem m_system;
    bool m_stopCallers = false;
    bool m_stopObserving = false;
    int m_runningCallers = 0;
    int m_playing = 0;
    std::uint64_t m_lastCall = 0;
};

} // namespace lagoonspoke::soak
