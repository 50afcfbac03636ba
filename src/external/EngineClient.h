#pragma once

#include <vector>

#include "dispatch/Dispatcher.h"
#include "http/HttpClient.h"

namespace lagoonspoke {

// Cache events of one reply in order, one report for each run of sequence numbers without a gap. The server field is
// left empty.
struct EngineCacheEvents {
    std::vector<CacheEventsReported> runs;
    std::uint64_t lastSequence = 0; // 0 without events
};

Outcome<LoadReported> parseEngineLoad(std::string_view text);
Outcome<EngineCacheEvents> parseEngineCacheEvents(std::string_view text);

// Adapter for the reports of one model engine. Copyable; holds no connection.
class EngineClient {
public:
    EngineClient(tcp::endpoint, Duration bound);

    // Errors of both: Unavailable, TimedOut, ProtocolViolation. The load's age is counted from the engine's reading.
    asio::awaitable<Outcome<LoadReported>> fetchLoad() const;
    // Events with higher sequence numbers than the given one.
    asio::awaitable<Outcome<EngineCacheEvents>> fetchCacheEvents(std::uint64_t after) const;

private:
    asio::awaitable<Outcome<std::string>> fetch(std::string target) const;

    tcp::endpoint m_endpoint;
    Duration m_bound;
};

} // namespace lagoonspoke
