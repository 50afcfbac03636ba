#pragma once

#include <memory>
#include <vector>

#include "lease/LeaseMessages.h"

namespace lagoonspoke {

// State machine of one process for one lease: waits as a candidate, acquires, renews and releases the lease.
// Does no I/O and reads no clock: the owner (LeaseService) executes the returned actions and passes the time in.
class LeaseMachine {
public:
    struct Options {
        std::string self;
        // The holder counts its term from the time at which it sent the write, not from its result.
        Duration term = std::chrono::seconds(10);
        Duration renewInterval = std::chrono::seconds(2);
        // Longest time that an order may be in flight. A candidate waits this much longer than the term.
        Duration maxOrderLifetime = std::chrono::seconds(3);
        // Added to the wait after a release, as the candidate's clock may run faster than those of the receivers of
        // orders. The wait after a renewal needs no allowance: the holder sends its last order maxOrderLifetime
        // before its term ends.
        Duration clockDriftAllowance = std::chrono::milliseconds(500);
        Duration readInterval = std::chrono::seconds(2);
        // Delay before the next read after a failed one.
        Duration retryInterval = std::chrono::milliseconds(500);
        // nextWakeup() requests an input every quarter of this. A longer gap between inputs means that the process was
        // suspended, so that its earlier decisions are out of date.
        Duration suspensionThreshold = std::chrono::seconds(2);
    };

    static LeaseMachine Make(Options);
    LeaseMachine(LeaseMachine&&) noexcept;
    LeaseMachine& operator=(LeaseMachine&&) noexcept;
    ~LeaseMachine();

    std::vector<LeaseAction> handle(const LeaseEvent&, MonotonicTime now);
    std::vector<LeaseAction> advance(MonotonicTime now);
    std::optional<MonotonicTime> nextWakeup() const;

    // Returns the token for an order that is written to its connection immediately, or nullopt unless this process is
    // the holder, its remaining term exceeds maxOrderLifetime and the latest input is within suspensionThreshold.
    std::optional<FencingToken> mayAct(MonotonicTime now) const;
    bool isHolder() const;

private:
    struct Core;
    explicit LeaseMachine(std::unique_ptr<Core>);

    std::unique_ptr<Core> m_core;
};

} // namespace lagoonspoke
