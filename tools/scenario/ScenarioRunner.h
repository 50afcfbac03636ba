#pragma once

#include <string>
#include <vector>

#include "tools/scenario/Testbed.h"

namespace lagoonspoke {

// Runs the commands of one scenario in order and stops at the first that fails. docs/scenarios.md lists the commands.
// Owned by the scenario program.
class ScenarioRunner {
public:
    struct Options {
        std::string programDirectory;
        std::string workDirectory; // for settings and logs; must exist
        std::string scenarioDirectory; // files named in the scenario are relative to it
        bool verbose = false; // print each command
    };

    ScenarioRunner(asio::io_context&, Options);

    // The error names the line.
    asio::awaitable<Outcome<void>> run(std::vector<Command>);
    Testbed& testbed() { return m_testbed; }

private:
    asio::awaitable<Outcome<void>> execute(Command);
    asio::awaitable<Outcome<void>> runIncluded(std::string file);
    asio::awaitable<Outcome<void>> executeProgram(Command);
    asio::awaitable<Outcome<void>> executeControl(Command);
    // Prints a table of what callers saw.
    Outcome<void> showRequests(const std::vector<std::string>& names) const;
    asio::awaitable<Outcome<void>> postFaults(Command);
    // load PROFILE [seed=N] [json=FILE]: runs lagoonspoke-load against all daemons and prints its report.
    asio::awaitable<Outcome<void>> runLoad(Command);
    asio::awaitable<Outcome<void>> startServer(Command);
    // Compares a field until the comparison holds, or once.
    asio::awaitable<Outcome<void>> awaitField(Command, bool once);

    // print SUBJECT FIELD
    asio::awaitable<Outcome<void>> printField(Command);

    asio::io_context& m_io;
    Options m_options;
    Testbed m_testbed;
    std::map<std::string, std::chrono::steady_clock::time_point> m_marks;
};

} // namespace lagoonspoke
