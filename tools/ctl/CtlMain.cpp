#include <algorithm>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>

#include "core/CommandLine.h"
#include "http/Endpoint.h"
#include "lagoonspoke/core/Text.h"
#include "tools/ctl/CommandTable.h"

// Strings, because Abseil ends the program with exit code 1 on a value that it cannot parse.
ABSL_FLAG(std::string, store, "", "Address of the object store, IP:port.");
ABSL_FLAG(std::string, output, "table", "table or json.");
ABSL_FLAG(std::string, timeout_ms, "5000", "Bound of one store call, in milliseconds.");

namespace lagoonspoke {

namespace {

int fail(const std::string& message)
{
    fmt::print(stderr, "{}\n", message);
    return static_cast<int>(ExitCode::InvalidInput);
}

// The mistake in the arguments that start with "--", or an empty string. Abseil would end the program with exit code
// 1, which stands for a failure here.
std::string findFlagMistake(std::span<char*> arguments)
{
    static constexpr std::string_view known[] = { "--store", "--output", "--timeout_ms" };
    for (std::string_view argument : arguments) {
        if (argument == "--") {
            break;
        }
        if (!argument.starts_with("--")) {
            continue;
        }
        auto name = argument.substr(0, argument.find('='));
        if (std::ranges::count(known, name) == 0) {
            return fmt::format("{} is not a known flag", argument);
        }
        if (name == argument) {
            return fmt::format("give {} as {}=VALUE", name, name);
        }
    }
    return {};
}

int runVerb(const Verb& verb, std::vector<std::string> arguments)
{
    auto output = absl::GetFlag(FLAGS_output);
    if (output != "table" && output != "json") {
        return fail("--output: must be table or json");
    }
    auto bound = parseNumber<int>(absl::GetFlag(FLAGS_timeout_ms));
    if (!bound || *bound < 1) {
        return fail("--timeout-ms: must be a positive whole number");
    }
    auto endpoint = parseEndpoint(absl::GetFlag(FLAGS_store));
    if (!verb.usesStore) {
        endpoint = tcp::endpoint();
    }
    if (!endpoint) {
        return fail("--store: " + endpoint.error().message);
    }
    asio::io_context io(1);
    ObjectStoreClient store(*endpoint, std::chrono::milliseconds(*bound));
    VerbResult result;
    auto format = output == "json" ? OutputFormat::Json : OutputFormat::Table;
    asio::co_spawn(io, verb.run(store, std::move(arguments), format),
        [&](const std::exception_ptr& exception, VerbResult finished) {
            if (exception) {
                std::rethrow_exception(exception);
            }
            result = std::move(finished);
        });
    io.run();
    fmt::print("{}", result.output);
    fmt::print(stderr, "{}", result.error);
    return static_cast<int>(result.code);
}

int runCommandLine(int argc, char** argv)
{
    normaliseFlagNames(argc, argv);
    auto last = std::remove_if(argv + 1, argv + argc, [](const char* it) { return std::string_view(it) == "--help"; });
    bool help = last != argv + argc;
    if (auto mistake = findFlagMistake({ argv + 1, last }); !mistake.empty()) {
        return fail(mistake);
    }
    auto words = absl::ParseCommandLine(static_cast<int>(last - argv), argv);
    std::vector<std::string> names(words.begin() + 1, words.end());
    auto command = findCommand(names);
    if (help) {
        fmt::print("{}", formatHelp(command.verb));
        return 0;
    }
    if (!command.verb) {
        return fail(formatHelp(nullptr));
    }
    if (command.arguments.size() != command.verb->argumentCount) {
        return fail(formatHelp(command.verb));
    }
    return runVerb(*command.verb, std::move(command.arguments));
}

} // namespace

} // namespace lagoonspoke

int main(int argc, char** argv)
{
    return lagoonspoke::runCommandLine(argc, argv);
}
