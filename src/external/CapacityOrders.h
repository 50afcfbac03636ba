#pragma once

#include <functional>
#include <memory>

#include "http/Asio.h"
#include "lagoonspoke/core/Error.h"
#include "lagoonspoke/core/FencingToken.h"
#include "lagoonspoke/core/Ids.h"

namespace lagoonspoke {

// The number of backend servers of one kind that a target shall have in one data centre.
struct CapacityOrder {
    TargetName target;
    DataCentreId dataCentre;
    bool cheap = false; // evictable servers
    int wanted = 0;
    FencingToken token {};
};

// Takes orders for a wished number of backend servers, outside of the fleet; an order that is repeated changes
// nothing. It must outlive its running calls.
class CapacityOrders {
public:
    virtual ~CapacityOrders() = default;

    // mayWrite is asked directly before the order is written.
    // Errors: Conflict (no such servers can be had now), Unavailable (not sent, or refused for now), TimedOut and
    // ProtocolViolation (the order may have been carried out).
    virtual asio::awaitable<Outcome<void>> order(CapacityOrder, std::function<bool()> mayWrite) const = 0;
    // Closes every connection that carries an order. Called when the lease is lost.
    virtual void closeConnections() const = 0;
};

using CapacityOrdersPtr = std::shared_ptr<const CapacityOrders>;

} // namespace lagoonspoke
