#pragma once

#include <deque>
#include <map>
#include <string>

#include "http/HttpServer.h"

namespace lagoonspoke {

// The platform's list of instances and backend servers:
//   GET /v1/instances   PUT|DELETE /v1/instances/ID   PUT|DELETE /v1/servers/ID
//   POST /faults {"lag_ms", "down"}
// With a lag, GET shows the list as it was that long ago. Owned by the stand-in program; runs on one io_context.
class InstanceListStandin {
public:
    asio::awaitable<void> handle(HttpExchange&);

private:
    using Clock = std::chrono::steady_clock;
    struct Version {
        Clock::time_point time;
        std::string body;
    };

    asio::awaitable<void> handleList(HttpExchange&);
    asio::awaitable<void> handleEntry(HttpExchange&, std::map<std::string, std::string>& entries, std::string id);
    asio::awaitable<void> handleFaults(HttpExchange&);
    asio::awaitable<void> respondStatus(HttpExchange&, http::status);
    void keepVersion();
    std::string render() const;

    std::map<std::string, std::string> m_instances; // JSON objects by id
    std::map<std::string, std::string> m_servers;
    std::deque<Version> m_versions; // the last one is current
    std::chrono::milliseconds m_lag { 0 };
    bool m_down = false;
};

} // namespace lagoonspoke
