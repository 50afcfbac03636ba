#pragma once

#include <functional>
#include <list>
#include <map>
#include <string>

#include "http/HttpServer.h"

namespace lagoonspoke {

// The platform's versioned object API in memory, with conditional updates, prefix listing and watches:
//   GET|PUT|DELETE /v1/objects/KEY   (If-Match: "VERSION", If-None-Match: *)
//   GET /v1/objects?prefix=P         GET /v1/watch?key=KEY&after=VERSION&timeout_ms=T
//   POST /faults {"down", "delay_ms", "lose_write_responses"}   GET /stats (calls by kind, waiting watches)
// Owned by the stand-in program; runs on one io_context.
class StoreStandin {
public:
    asio::awaitable<void> handle(HttpExchange&);

private:
    struct Object {
        std::string value;
        std::uint64_t version = 0;
    };
    struct Faults {
        bool down = false; // refuse every call
        std::chrono::milliseconds delay { 0 };
        int loseWriteResponses = 0; // this many writes take effect without a response
    };

    asio::awaitable<void> handleObject(HttpExchange&, std::string key);
    asio::awaitable<void> handlePut(HttpExchange&, const std::string& key);
    asio::awaitable<void> handleDelete(HttpExchange&, const std::string& key);
    asio::awaitable<void> handleList(HttpExchange&, std::string prefix);
    asio::awaitable<void> handleWatch(HttpExchange&);
    asio::awaitable<void> answerWatch(HttpExchange&, asio::steady_timer&);
    asio::awaitable<void> handleFaults(HttpExchange&);
    asio::awaitable<void> handleStats(HttpExchange&);
    asio::awaitable<void> respondObject(HttpExchange&, const Object&);
    asio::awaitable<void> respondEmpty(HttpExchange&, http::status);
    // Lets every waiting watch look again.
    void wakeWatches();
    // Whether the response to a write is to be lost; the connection then closes without one.
    bool losesResponse(HttpExchange&);
    bool conditionHolds(const HttpExchange&, const std::string& key) const;

    std::map<std::string, Object> m_objects;
    std::uint64_t m_lastVersion = 0;
    Faults m_faults;
    std::map<std::string, std::uint64_t> m_calls; // by kind
    std::list<asio::steady_timer> m_waitingWatches;
};

} // namespace lagoonspoke
