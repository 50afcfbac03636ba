#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include "core/CommandLine.h"
#include "tools/scenario/ScenarioRunner.h"

ABSL_FLAG(std::string, programs, "", "Directory of the programs; by default that of this program.");
ABSL_FLAG(std::string, logs, "", "Directory for settings and logs; by default a temporary one, removed after a pass.");
ABSL_FLAG(
    std::string, dispatch_policy, "", "Sets dispatch_policy of every daemon, to compare policies on one scenario.");
ABSL_FLAG(bool, verbose, false, "Print each command and the output of lagoonspokectl.");
ABSL_FLAG(bool, shut_down, false, "Stop the daemons gracefully at the end and print their exit codes.");
ABSL_FLAG(bool, keep, false, "Keep everything running after the last command until Ctrl-C, and print the addresses.");

namespace lagoonspoke {

namespace {

namespace filesystem = std::filesystem;

std::string makeWorkDirectory()
{
    if (auto logs = absl::GetFlag(FLAGS_logs); !logs.empty()) {
        filesystem::create_directories(logs);
        return logs;
    }
    auto pattern = (filesystem::temp_directory_path() / "lagoonspoke-XXXXXX").string();
    return mkdtemp(pattern.data()) ? pattern : std::string();
}

asio::awaitable<void> keepRunning(ScenarioRunner& runner)
{
    for (const auto& name : runner.testbed().names()) {
        fmt::print("{:20} {}\n", name, runner.testbed().addressOf(name));
    }
    fmt::print("running until Ctrl-C\n");
    std::fflush(stdout);
    asio::signal_set signals(co_await asio::this_coro::executor, SIGINT, SIGTERM);
    co_await signals.async_wait(useTuple);
}

asio::awaitable<void> runCommands(ScenarioRunner& runner, std::vector<Command> commands, Outcome<void>& result)
{
    result = co_await runner.run(std::move(commands));
    if (result && absl::GetFlag(FLAGS_keep)) {
        co_await keepRunning(runner);
    }
    if (absl::GetFlag(FLAGS_shut_down)) {
        auto stopped = co_await runner.testbed().stopDaemons();
        if (result && !stopped) {
            result = stopped;
        }
    }
}

bool runScenario(const std::string& file, const std::string& programs)
{
    std::ifstream in(file);
    std::string text(std::istreambuf_iterator<char>(in), {});
    auto commands = in ? parseScenario(text) : makeError(ErrorCode::NotFound, "cannot be read");
    if (!commands) {
        fmt::print("FAILED {}: {}\n", file, commands.error().message);
        return false;
    }
    ScenarioRunner::Options options;
    options.programDirectory = programs;
    options.workDirectory = makeWorkDirectory();
    options.scenarioDirectory = filesystem::absolute(file).parent_path();
    options.verbose = absl::GetFlag(FLAGS_verbose);
    Outcome<void> result;
    {
        asio::io_context io(1);
        ScenarioRunner runner(io, options);
        if (auto policy = absl::GetFlag(FLAGS_dispatch_policy); !policy.empty()) {
            runner.testbed().setDefault("dispatch_policy", policy);
        }
        asio::co_spawn(io, runCommands(runner, std::move(*commands), result), [&](std::exception_ptr) { io.stop(); });
        io.run();
    }
    if (!result) {
        fmt::print("FAILED {}: {}\n  logs in {}\n", file, result.error().message, options.workDirectory);
        return false;
    }
    fmt::print("passed {}\n", file);
    if (absl::GetFlag(FLAGS_logs).empty()) {
        filesystem::remove_all(options.workDirectory);
    }
    return true;
}

} // namespace

} // namespace lagoonspoke

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Runs scripted scenarios against real processes on loopback.\n"
                                 "  lagoonspoke-scenario [flags] FILE...");
    lagoonspoke::normaliseFlagNames(argc, argv);
    auto arguments = absl::ParseCommandLine(argc, argv);
    auto programs = absl::GetFlag(FLAGS_programs);
    if (programs.empty()) {
        programs = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    }
    int passed = 0;
    int failed = 0;
    for (std::size_t i = 1; i < arguments.size(); ++i) {
        ++(lagoonspoke::runScenario(arguments[i], programs) ? passed : failed);
        std::fflush(stdout);
    }
    fmt::print("{} passed, {} failed\n", passed, failed);
    return failed || !passed ? 1 : 0;
}
