#pragma once

#include <string>
#include <variant>
#include <vector>

#include "lagoonspoke/core/Time.h"
#include "soak/FaultProxy.h"

namespace lagoonspoke::soak {

// Sizes of the system under test.
struct SoakSize {
    int daemons = 5;
    int engines = 3;
    int callers = 12;
};

// Faults of single processes; the index counts daemons or engines from 0.
struct KillDaemon {
    int daemon = 0;
};
struct RestartDaemon {
    int daemon = 0; // SIGTERM, then a new process
};
struct PauseDaemon {
    int daemon = 0;
};
// All daemons are killed at the same moment.
struct KillAllDaemons { };
struct KillEngine {
    int engine = 0;
};
// A fault that the engine's stand-in plays: a field of its POST /faults and the value while it lasts.
struct EngineFault {
    int engine = 0;
    std::string field;
    double value = 1;
};
// The service runs calls and does not answer them.
struct LoseServiceAnswers { };
// Entries of the instance list: the engine is leaving.
struct EngineLeaves {
    int engine = 0;
};
struct StoreDown { };
struct StoreSlow {
    Duration delay {};
};
struct LoseStoreAnswers {
    int writes = 0;
};
struct UsageInterfaceDown { };
// The way of one daemon to the store, of callers to one daemon, or of all daemons to one engine.
struct LinkOf {
    enum class Kind { Store, Caller, Engine };
    Kind kind = Kind::Store;
    int index = 0;
};
struct BreakLink {
    LinkOf link;
    LinkFault fault = LinkFault::Silent;
};
struct ResetLink {
    LinkOf link;
};
// Operators: a ticket that changes a team's weight, two at once with one number, and one that takes a key away.
struct SubmitTicket { };
struct RaceTickets { };
struct WithdrawKey { };

using FaultAction = std::variant<KillDaemon, RestartDaemon, PauseDaemon, KillAllDaemons, KillEngine, EngineFault,
    LoseServiceAnswers, EngineLeaves, StoreDown, StoreSlow, LoseStoreAnswers, UsageInterfaceDown, BreakLink, ResetLink,
    SubmitTicket, RaceTickets, WithdrawKey>;

struct PlannedFault {
    Duration at {}; // from the start of the traffic
    Duration lasts {}; // zero for what has no end
    FaultAction action;
};

// The faults of one run, in order of time; they come in series and overlap. The same seed gives the same plan.
std::vector<PlannedFault> makeFaultPlan(std::uint64_t seed, Duration length, const SoakSize&);

std::string describe(const PlannedFault&);

} // namespace lagoonspoke::soak
