#pragma once

#include <map>
#include <string>
#include <vector>

#include "http/HttpServer.h"

namespace lagoonspoke {

// The platform's backend server interface in memory:
//   POST /v1/data-centres/DC/orders {"order_id", "fencing_token", "sender", "action": "start" or "stop", "target",
//                                    "server", "spot"}
//   GET /v1/servers                 the running servers
//   POST /v1/evict {"data_centre"}  takes every spot server of the data centre away
//   POST /faults {"down", "ignore_tokens", "no_spot", "lose_responses"}   GET /stats
// It refuses tokens lower than one seen for the data centre with 409, unless told to ignore them; a start that cannot
// be carried out gets 422. A repeated order id is answered as the first time and has no further effect.
// Owned by the stand-in program; runs on one io_context.
class FleetStandin {
public:
    asio::awaitable<void> handle(HttpExchange&);

private:
    struct Order {
        std::string dataCentre;
        std::string id;
        std::int64_t token = 0;
        std::string sender;
        std::string action;
        std::string target;
        std::string server;
        bool spot = false;
        http::status status = http::status::ok;
        bool repeated = false;
    };
    struct Server {
        std::string dataCentre;
        std::string target;
        bool spot = false;
    };
    struct Faults {
        bool down = false;
        bool ignoreTokens = false;
        bool noSpot = false;
        std::int64_t loseResponses = 0;
    };

    asio::awaitable<void> handleOrder(HttpExchange&, std::string dataCentre);
    asio::awaitable<void> handleEviction(HttpExchange&);
    asio::awaitable<void> handleFaults(HttpExchange&);
    asio::awaitable<void> handleServers(HttpExchange&);
    asio::awaitable<void> handleStats(HttpExchange&);
    http::status carryOut(Order&);
    http::status apply(const Order&);

    std::vector<Order> m_orders; // in the order of arrival
    std::map<std::string, http::status> m_answers; // by order id
    std::map<std::string, std::int64_t> m_highestToken; // by data centre
    std::map<std::string, Server> m_servers;
    std::int64_t m_staleTokens = 0; // of orders, whether refused or not
    std::int64_t m_lastServer = 0;
    Faults m_faults;
};

} // namespace lagoonspoke
