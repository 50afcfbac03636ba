#pragma once

#include <memory>
#include <vector>

#include "lease/LeaseMessages.h"

namespace lagoonspoke {

// One process's view of one lease: waits for it, takes it, renews it and gives it up.
// Pure: the owner (LeaseService) carries out the actions and passes the time in.
class LeaseMachine {
public:
    struct Options {
        std::string self;
        // Counted by the holder from before it sent the renewal.
        Duration term = std::chrono::seconds(10);
        Duration renewInterval = std::chrono::seconds(2);
        // Longest life of an order in flight. A candidate waits this much longer than the term.
        Duration maxOrderLifetime = std::chrono::seconds(3);
        // Added to the wait after a release, for a candidate whose clock runs faster than that of the receivers of
        // orders. The wait after a renewal needs none: the holder's last order leaves maxOrderLifetime before its term
        // ends.
        Duration clockDriftAllowance = std::chrono::milliseconds(500);
        Duration readInterval = std::chrono::seconds(2);
        // Time after a failed call until the next one.
        Duration retryInterval = std::chrono::milliseconds(500);
        // The machine is driven at least this often divided by four; a longer silence means that the process was
        // paused, and that anything decided before is out of date.
        Duration suspensionThreshold = std::chrono::seconds(2);
    };

    static LeaseMachine Make(Options);
    LeaseMachine(LeaseMachine&&) noexcept;
    LeaseMachine& operator=(LeaseMachine&&) noexcept;
    ~LeaseMachine();

    std::vector<LeaseAction> handle(const LeaseEvent&, MonotonicTime now);
    std::vector<LeaseAction> advance(MonotonicTime now);
    std::optional<MonotonicTime> nextWakeup() const;

    // The token for an order that is written to its connection at once, while the remaining term exceeds the
    // longest life of an order; nothing otherwise.
    std::optional<FencingToken> mayAct(MonotonicTime now) const;
    bool isHolder() const;

private:
    struct Core;
    explicit LeaseMachine(std::unique_ptr<Core>);

    std::unique_ptr<Core> m_core;
};

} // namespace lagoonspoke
