#include <csignal>
#include <cstdio>
#include <filesystem>
#include <random>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include "core/CommandLine.h"
#include "soak/SoakRun.h"

ABSL_FLAG(std::uint64_t, seed, 0, "Seed of the first run; 0 draws one.");
ABSL_FLAG(int, runs, 1, "Runs with this seed and the following ones.");
ABSL_FLAG(double, minutes, 0, "Goes on with further seeds until this time has passed.");
ABSL_FLAG(int, seconds, 30, "Length of the faults of one run.");
ABSL_FLAG(int, daemons, 5, "Daemons under test.");
ABSL_FLAG(int, engines, 3, "Model engines.");
ABSL_FLAG(int, callers, 12, "Callers at the same time.");
ABSL_FLAG(std::string, configuration, "", "Ticket with the first configuration.");
ABSL_FLAG(std::string, logs, "", "Directory for logs; by default a temporary one, removed after a pass.");
ABSL_FLAG(bool, verbose, false, "Print each fault.");

namespace lagoonspoke::soak {

namespace {

namespace filesystem = std::filesystem;

std::string makeWorkDirectory(std::uint64_t seed)
{
    if (auto logs = absl::GetFlag(FLAGS_logs); !logs.empty()) {
        auto path = fmt::format("{}/{}", logs, seed);
        filesystem::create_directories(path);
        return path;
    }
    auto pattern = (filesystem::temp_directory_path() / "lagoonspoke-soak-XXXXXX").string();
    return mkdtemp(pattern.data()) ? pattern : std::string();
}

bool interrupted = false;

bool runSeed(std::uint64_t seed)
{
    SoakRun::Options options;
    options.seed = seed;
    options.length = std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
    options.configuration = absl::GetFlag(FLAGS_configuration);
    options.verbose = absl::GetFlag(FLAGS_verbose);
    options.system.size = { absl::GetFlag(FLAGS_daemons), absl::GetFlag(FLAGS_engines), absl::GetFlag(FLAGS_callers) };
    options.system.programDirectory = filesystem::read_symlink("/proc/self/exe").parent_path();
    options.system.workDirectory = makeWorkDirectory(seed);
    bool kept = false;
    {
        asio::io_context io(1);
        SoakRun run(io, options);
        asio::signal_set signals(io, SIGINT, SIGTERM);
        // The programs of the run end with it.
        signals.async_wait([&](error_code ec, int) {
            if (!ec) {
                interrupted = true;
                io.stop();
            }
        });
        asio::co_spawn(io, run.run(), [&](const std::exception_ptr& failure, bool result) {
            kept = !failure && result;
            io.stop();
        });
        io.run();
    }
    fmt::print("{} seed={} logs={}\n", kept ? "passed" : "FAILED", seed, kept ? "" : options.system.workDirectory);
    std::fflush(stdout);
    if (kept && absl::GetFlag(FLAGS_logs).empty()) {
        filesystem::remove_all(options.system.workDirectory);
    }
    return kept;
}

} // namespace

} // namespace lagoonspoke::soak

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Plays random faults on real processes and checks the promises to callers.\n"
                                 "  lagoonspoke-soak --configuration=FILE [flags]");
    lagoonspoke::normaliseFlagNames(argc, argv);
    absl::ParseCommandLine(argc, argv);
    if (absl::GetFlag(FLAGS_configuration).empty() || absl::GetFlag(FLAGS_daemons) < 1
        || absl::GetFlag(FLAGS_engines) < 1 || absl::GetFlag(FLAGS_callers) < 1 || absl::GetFlag(FLAGS_seconds) < 1) {
        fmt::print(stderr, "--configuration names a file, and the counts are at least 1; see --help\n");
        return 2;
    }
    auto seed = absl::GetFlag(FLAGS_seed);
    if (seed == 0) {
        seed = std::random_device {}();
    }
    auto end = std::chrono::steady_clock::now()
        + std::chrono::duration<double, std::ratio<60>>(absl::GetFlag(FLAGS_minutes));
    int passed = 0;
    int failed = 0;
    auto goesOn = [&](int i) {
        return !lagoonspoke::soak::interrupted
            && (i < absl::GetFlag(FLAGS_runs) || std::chrono::steady_clock::now() < end);
    };
    for (int i = 0; goesOn(i); ++i) {
        ++(lagoonspoke::soak::runSeed(seed + static_cast<std::uint64_t>(i)) ? passed : failed);
    }
    fmt::print("{} passed, {} failed\n", passed, failed);
    return failed ? 1 : 0;
}
