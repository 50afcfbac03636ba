#pragma once

#include <functional>
#include <memory>
#include <set>

#include "fleet/FleetOrder.h"
#include "http/HttpClient.h"
#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// Adapter for orders: to the backend server interface (start, stop) and to model engines (load, change role).
// Owned by FleetService; used on the control thread only.
class FleetClient {
public:
    // Whether an order with the token may be written now. Asked directly before the bytes go to the connection.
    using MayAct = std::function<bool(FencingToken)>;

    // The bound covers an order from opening its connection to its answer, and is at most the longest life of an
    // order in flight, after which the connection is closed.
    FleetClient(tcp::endpoint fleetInterface, std::string sender, Duration bound, MayAct);

    // Errors: Conflict (the receiver has seen a higher token), InvalidArgument (it will never carry the order out),
    // Unavailable (no byte was sent), TimedOut and ProtocolViolation (the order may have been carried out).
    asio::awaitable<Outcome<void>> sendToInterface(DataCentreId, FleetOrder, FencingToken);
    asio::awaitable<Outcome<void>> sendToEngine(tcp::endpoint, FleetOrder, FencingToken);
    // Closes every connection that carries an order. Called when the lease is lost.
    void closeConnections();

private:
    asio::awaitable<Outcome<void>> send(tcp::endpoint, std::string target, std::string body, FencingToken);
    std::string encode(const FleetOrder&, FencingToken) const;

    tcp::endpoint m_interface;
    std::string m_sender;
    Duration m_bound;
    MayAct m_mayAct;
    std::set<std::shared_ptr<beast::tcp_stream>> m_open;
};

} // namespace lagoonspoke
