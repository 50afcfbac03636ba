#pragma once

#include <cstdint>
#include <memory>

#include "lagoonspoke/dispatch/Messages.h"

namespace lagoonspoke {

class ServerState;

// A placement request in the queue of a dispatcher.
struct WaitingRequest {
    InstanceId entry;
    DataCentreId dataCentre; // of the entry; empty when unknown
    PlaceRequest place;
    MonotonicTime queued; // when it arrived at this dispatcher
    MonotonicTime target; // latest first token that meets the class's latency target
    MonotonicTime deadline;
    MonotonicTime latestStart; // a later grant is expected to miss the deadline
    std::int64_t cost = 0; // see requestCost()
    std::int64_t predictedOutput = 0;
    bool late = false; // the target can no longer be met
    bool needsIsolation = false; // suspected to crash servers itself, so it runs on a server of its own
    bool gapSensitive = false; // its class has a short target for the gap between output tokens
    mutable std::uint64_t promisedRun = 0; // the scheduler run in which its prompt was last counted for a busy server
    mutable const ServerState* promisedServer = nullptr; // that server; valid only in that run
    mutable std::uint64_t rejectedRun = 0; // the last scheduler run that found no server for it
};

using WaitingPtr = std::unique_ptr<WaitingRequest>;

} // namespace lagoonspoke
