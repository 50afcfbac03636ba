#include "soak/FaultPlan.h"

#include <algorithm>
#include <functional>
#include <random>

#include <absl/random/distributions.h>
#include <fmt/format.h>

#include "lagoonspoke/core/Overload.h"

namespace lagoonspoke::soak {

namespace {

// Short enough that series overlap, long enough that some faults are over before the next.
constexpr double meanPauseMs = 900;
constexpr double shortestFaultMs = 200;
constexpr double longestFaultMs = 6000;
// Share of faults that come three times, with short pauses.
constexpr double seriesShare = 0.25;

using Generator = std::mt19937_64;

LinkOf drawLink(Generator& random, const SoakSize& size)
{
    auto kind = static_cast<LinkOf::Kind>(absl::Uniform(random, 0, 3));
    return { kind, absl::Uniform(random, 0, kind == LinkOf::Kind::Engine ? size.engines : size.daemons) };
}

EngineFault drawEngineFault(Generator& random, const SoakSize& size)
{
    static constexpr std::pair<const char*, double> kinds[] = { { "slow_factor", 20 }, { "silent", 1 },
        { "truncate_after", 3 }, { "cross_request_ids", 1 }, { "refuse", 1 } };
    const auto& [field, value] = kinds[absl::Uniform<std::size_t>(random, 0, std::size(kinds))];
    return { absl::Uniform(random, 0, size.engines), field, value };
}

FaultAction drawAction(Generator& random, const SoakSize& size)
{
    auto daemon = [&] { return absl::Uniform(random, 0, size.daemons); };
    auto engine = [&] { return absl::Uniform(random, 0, size.engines); };
    // Entries that stand more than once are drawn more often.
    const std::function<FaultAction()> kinds[] = {
        [&]() -> FaultAction { return KillDaemon { daemon() }; },
        [&]() -> FaultAction { return KillDaemon { daemon() }; },
        [&]() -> FaultAction { return RestartDaemon { daemon() }; },
        [&]() -> FaultAction { return RestartDaemon { daemon() }; },
        [&]() -> FaultAction { return PauseDaemon { daemon() }; },
        [&]() -> FaultAction { return PauseDaemon { daemon() }; },
        [&]() -> FaultAction { return KillAllDaemons {}; },
        [&]() -> FaultAction { return KillEngine { engine() }; },
        [&]() -> FaultAction { return drawEngineFault(random, size); },
        [&]() -> FaultAction { return drawEngineFault(random, size); },
        [&]() -> FaultAction { return LoseServiceAnswers {}; },
        [&]() -> FaultAction { return EngineLeaves { engine() }; },
        [&]() -> FaultAction { return StoreDown {}; },
        [&]() -> FaultAction { return StoreSlow { std::chrono::milliseconds(absl::Uniform(random, 20, 600)) }; },
        [&]() -> FaultAction { return LoseStoreAnswers { absl::Uniform(random, 1, 6) }; },
        [&]() -> FaultAction { return UsageInterfaceDown {}; },
        [&]() -> FaultAction {
            return BreakLink { drawLink(random, size), static_cast<LinkFault>(absl::Uniform(random, 1, 6)) };
        },
        [&]() -> FaultAction {
            return BreakLink { drawLink(random, size), static_cast<LinkFault>(absl::Uniform(random, 1, 6)) };
        },
        [&]() -> FaultAction { return ResetLink { drawLink(random, size) }; },
        [&]() -> FaultAction { return SubmitTicket {}; },
        [&]() -> FaultAction { return SubmitTicket {}; },
        [&]() -> FaultAction { return RaceTickets {}; },
        [&]() -> FaultAction { return WithdrawKey {}; },
    };
    return kinds[absl::Uniform<std::size_t>(random, 0, std::size(kinds))]();
}

std::string describe(const LinkOf& link)
{
    static constexpr const char* names[] = { "store-of-daemon", "callers-of-daemon", "engine" };
    return fmt::format("{}={}", names[static_cast<int>(link.kind)], link.index);
}

} // namespace

std::vector<PlannedFault> makeFaultPlan(std::uint64_t seed, Duration length, const SoakSize& size)
{
    Generator random(seed);
    std::vector<PlannedFault> plan;
    Duration at {};
    while (true) {
        at += std::chrono::milliseconds(static_cast<int>(absl::Exponential(random, 1 / meanPauseMs)));
        PlannedFault fault { at,
            std::chrono::milliseconds(static_cast<int>(absl::Uniform(random, shortestFaultMs, longestFaultMs))),
            drawAction(random, size) };
        int repeats = absl::Bernoulli(random, seriesShare) ? 3 : 1;
        for (int i = 0; i < repeats; ++i) {
            // Every fault is over at the end of the run.
            fault.lasts = std::min(fault.lasts, length - fault.at);
            if (fault.at >= length) {
                std::ranges::stable_sort(plan, {}, &PlannedFault::at);
                return plan;
            }
            plan.push_back(fault);
            fault.at += std::chrono::milliseconds(absl::Uniform(random, 100, 1500));
        }
    }
}

std::string describe(const PlannedFault& fault)
{
    auto what = std::visit(
        Overload {
            [](const KillDaemon& it) { return fmt::format("kill daemon={}", it.daemon); },
            [](const RestartDaemon& it) { return fmt::format("restart daemon={}", it.daemon); },
            [](const PauseDaemon& it) { return fmt::format("pause daemon={}", it.daemon); },
            [](const KillAllDaemons&) { return std::string("kill all daemons"); },
            [](const KillEngine& it) { return fmt::format("kill engine={}", it.engine); },
            [](const EngineFault& it) { return fmt::format("fault engine={} {}={}", it.engine, it.field, it.value); },
            [](const LoseServiceAnswers&) { return std::string("lose answers of the service"); },
            [](const EngineLeaves& it) { return fmt::format("leave engine={}", it.engine); },
            [](const StoreDown&) { return std::string("store down"); },
            [](const StoreSlow& it) { return fmt::format("store slow delay_ms={}", toMilliseconds(it.delay)); },
            [](const LoseStoreAnswers& it) { return fmt::format("lose store answers writes={}", it.writes); },
            [](const UsageInterfaceDown&) { return std::string("usage interface down"); },
            [](const BreakLink& it) { return fmt::format("break link {} {}", describe(it.link), toString(it.fault)); },
            [](const ResetLink& it) { return fmt::format("reset link {}", describe(it.link)); },
            [](const SubmitTicket&) { return std::string("submit ticket"); },
            [](const RaceTickets&) { return std::string("race tickets"); },
            [](const WithdrawKey&) { return std::string("withdraw key"); },
        },
        fault.action);
    return fmt::format("at_ms={:.0f} lasts_ms={:.0f} {}", toMilliseconds(fault.at), toMilliseconds(fault.lasts), what);
}

} // namespace lagoonspoke::soak
