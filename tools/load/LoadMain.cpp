#include <fstream>
#include <iterator>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include "core/CommandLine.h"
#include "http/Endpoint.h"
#include "settings/JsonReader.h"
#include "tools/load/LoadRun.h"

ABSL_FLAG(std::string, entries, "", "Caller addresses of the daemons, IP:port, separated by commas.");
ABSL_FLAG(std::string, engines, "", "Addresses of engine stand-ins whose statistics tell wasted work.");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the arrivals; the same seed and profile give the same arrivals.");
ABSL_FLAG(std::string, json, "", "File that receives the report as JSON.");
ABSL_FLAG(bool, progress, true, "Print progress to standard error.");

namespace lagoonspoke {

namespace {

constexpr int exitUsage = 2;

std::optional<std::string> readFile(const std::string& path)
{
    std::ifstream in(path);
    if (!in) {
        fmt::print(stderr, "{}: cannot be read\n", path);
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(in), {});
}

std::optional<std::vector<tcp::endpoint>> parseEndpoints(const std::string& text)
{
    std::vector<tcp::endpoint> endpoints;
    for (const std::string& it : std::vector<std::string>(absl::StrSplit(text, ',', absl::SkipEmpty()))) {
        auto endpoint = parseEndpoint(it);
        if (!endpoint) {
            fmt::print(stderr, "{}\n", endpoint.error().message);
            return std::nullopt;
        }
        endpoints.push_back(*endpoint);
    }
    return endpoints;
}

int runLoad(const std::string& file)
{
    auto text = readFile(file);
    auto entries = parseEndpoints(absl::GetFlag(FLAGS_entries));
    auto engines = parseEndpoints(absl::GetFlag(FLAGS_engines));
    if (!text || !entries || !engines) {
        return exitUsage;
    }
    auto profile = parseProfile(*text);
    if (!profile) {
        fmt::print(stderr, "{}", formatErrors(profile.error()));
        return exitUsage;
    }
    if (entries->empty()) {
        fmt::print(stderr, "--entries names no address\n");
        return exitUsage;
    }
    asio::io_context io(1);
    LoadRun::Options options;
    options.entries = std::move(*entries);
    options.engines = std::move(*engines);
    options.showProgress = absl::GetFlag(FLAGS_progress);
    LoadRun run(io, *profile, planArrivals(*profile, absl::GetFlag(FLAGS_seed)), std::move(options));
    boost::json::object report;
    asio::co_spawn(io, run.run(), [&](std::exception_ptr, boost::json::object result) { report = std::move(result); });
    io.run();
    report["seed"] = absl::GetFlag(FLAGS_seed);
    fmt::print("{}", formatReport(report));
    if (auto path = absl::GetFlag(FLAGS_json); !path.empty()) {
        std::ofstream(path) << boost::json::serialize(report) << '\n';
    }
    return 0;
}

int compareFiles(const std::string& left, const std::string& right)
{
    boost::json::object reports[2];
    for (int i = 0; i < 2; ++i) {
        auto text = readFile(i == 0 ? left : right);
        auto value = text ? parseJson(*text) : makeError(ErrorCode::NotFound, "");
        if (!value || !value->is_object() || !value->get_object().contains("classes")) {
            fmt::print(stderr, "{}: is not a report\n", i == 0 ? left : right);
            return exitUsage;
        }
        reports[i] = value->get_object();
    }
    fmt::print("{}", compareReports(reports[0], reports[1]));
    return 0;
}

} // namespace

} // namespace lagoonspoke

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Sends a profile's requests open-loop and reports what callers saw.\n"
                                 "  lagoonspoke-load run PROFILE --entries=IP:PORT,... [flags]\n"
                                 "  lagoonspoke-load compare REPORT REPORT");
    lagoonspoke::normaliseFlagNames(argc, argv);
    auto arguments = absl::ParseCommandLine(argc, argv);
    if (arguments.size() == 3 && std::string_view(arguments[1]) == "run") {
        return lagoonspoke::runLoad(arguments[2]);
    }
    if (arguments.size() == 4 && std::string_view(arguments[1]) == "compare") {
        return lagoonspoke::compareFiles(arguments[2], arguments[3]);
    }
    fmt::print(stderr, "give run PROFILE, or compare REPORT REPORT; see --help\n");
    return lagoonspoke::exitUsage;
}
