#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include "core/CommandLine.h"
#include "http/Endpoint.h"
#include "observe/LogLine.h"
#include "standins/EngineStandin.h"
#include "standins/FleetStandin.h"
#include "standins/InstanceListStandin.h"
#include "standins/ServiceStandin.h"
#include "standins/StoreStandin.h"
#include "standins/UsageStandin.h"
#include "standins/WeightStandin.h"

ABSL_FLAG(std::string, address, "127.0.0.1:0", "IP:port to listen on; port 0 lets the kernel choose.");
ABSL_FLAG(int, first_token_us, 5000, "engine: time to the first token, in microseconds.");
ABSL_FLAG(int, token_gap_us, 1000, "engine: time between tokens of a single request, in microseconds.");
ABSL_FLAG(int, slots, 8, "engine: requests that run at the same time.");
ABSL_FLAG(double, full_load_factor, 2, "engine: how much slower a token is with all slots busy than with one.");
ABSL_FLAG(int, cache_blocks, 4096, "engine: capacity of the prefix cache, in blocks of 256 bytes.");
ABSL_FLAG(int, report_lag_ms, 500, "engine: age that a load report reaches before it is renewed.");
ABSL_FLAG(bool, reject_old_fencing_tokens, true, "engine: whether orders with an old fencing token are refused.");
ABSL_FLAG(double, weight_rate, 1.0, "weights: calls a second that the weight store serves.");

namespace lagoonspoke {

namespace {

int serve(HttpServer::Handler handler)
{
    asio::io_context io(1);
    auto endpoint = parseEndpoint(absl::GetFlag(FLAGS_address));
    if (!endpoint) {
        fmt::print(stderr, "--address: {}\n", endpoint.error().message);
        return 2;
    }
    auto server = HttpServer::Make(io, *endpoint, {}, std::move(handler));
    if (!server) {
        fmt::print(stderr, "{}\n", server.error().message);
        return 1;
    }
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](error_code, int) { io.stop(); });
    (*server)->start();
    LogLine(LogLevel::Info, "listening").add("address", formatEndpoint((*server)->endpoint()));
    io.run();
    return 0;
}

int runEngine()
{
    EngineStandin::Options options;
    options.firstToken = std::chrono::microseconds(absl::GetFlag(FLAGS_first_token_us));
    options.tokenGap = std::chrono::microseconds(absl::GetFlag(FLAGS_token_gap_us));
    options.slots = absl::GetFlag(FLAGS_slots);
    options.fullLoadFactor = absl::GetFlag(FLAGS_full_load_factor);
    options.cacheBlocks = static_cast<std::size_t>(absl::GetFlag(FLAGS_cache_blocks));
    options.reportLag = std::chrono::milliseconds(absl::GetFlag(FLAGS_report_lag_ms));
    options.rejectOldFencingTokens = absl::GetFlag(FLAGS_reject_old_fencing_tokens);
    EngineStandin engine(options);
    return serve([&](HttpExchange& exchange) { return engine.handle(exchange); });
}

int runStore()
{
    StoreStandin store;
    return serve([&](HttpExchange& exchange) { return store.handle(exchange); });
}

int runInstances()
{
    InstanceListStandin list;
    return serve([&](HttpExchange& exchange) { return list.handle(exchange); });
}

int runService()
{
    ServiceStandin service;
    return serve([&](HttpExchange& exchange) { return service.handle(exchange); });
}

int runUsage()
{
    UsageStandin usage;
    return serve([&](HttpExchange& exchange) { return usage.handle(exchange); });
}

int runFleet()
{
    FleetStandin fleet;
    return serve([&](HttpExchange& exchange) { return fleet.handle(exchange); });
}

int runWeights()
{
    WeightStandin weights(absl::GetFlag(FLAGS_weight_rate));
    return serve([&](HttpExchange& exchange) { return weights.handle(exchange); });
}

struct StandinKind {
    std::string_view name;
    int (*run)();
};

constexpr StandinKind standinKinds[] = {
    { "engine", runEngine },
    { "instances", runInstances },
    { "service", runService },
    { "store", runStore },
    { "usage", runUsage },
    { "fleet", runFleet },
    { "weights", runWeights },
};

int runStandin(std::string_view name)
{
    for (const auto& kind : standinKinds) {
        if (kind.name == name) {
            return kind.run();
        }
    }
    fmt::print(stderr, "there is no stand-in '{}'\n", name);
    return 2;
}

} // namespace

} // namespace lagoonspoke

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Stand-ins of outside systems.\n  lagoonspoke-standin KIND [flags]");
    lagoonspoke::normaliseFlagNames(argc, argv);
    auto arguments = absl::ParseCommandLine(argc, argv);
    if (arguments.size() != 2) {
        fmt::print(stderr, "give one stand-in: engine, service, store, instances, fleet, usage or weights\n");
        return 2;
    }
    return lagoonspoke::runStandin(arguments[1]);
}
