#pragma once

#include <chrono>
#include <map>
#include <string>

#include "http/HttpServer.h"

namespace lagoonspoke {

// An application service whose every call other than GET has a side effect, counted by request target, so that a
// repeated run is seen.   Any method and path   POST /faults   GET /stats   GET /effects (count by target)
// Owned by the stand-in program; runs on one io_context.
class ServiceStandin {
public:
    asio::awaitable<void> handle(HttpExchange&);

private:
    struct Faults {
        std::chrono::milliseconds delay { 0 };
        bool dropResponses = false; // the effect happens, then the connection closes without an answer
    };

    asio::awaitable<void> handleFaults(HttpExchange&);
    asio::awaitable<void> handleStats(HttpExchange&);
    asio::awaitable<void> handleEffects(HttpExchange&);

    Faults m_faults;
    std::int64_t m_calls = 0;
    std::int64_t m_credentialsSeen = 0;
    std::map<std::string, int> m_effects; // by request target
};

} // namespace lagoonspoke
