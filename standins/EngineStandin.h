#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <boost/json.hpp>

#include "http/HttpServer.h"
#include "standins/PrefixCache.h"

namespace lagoonspoke {

// A model engine with continuous batching: requests beyond its slots wait by priority, the pace of tokens falls with
// the number of running requests, and cached prompt prefixes shorten the time to the first token.
// The N-th token's text is "tN ", so that a resumed stream can be checked for gaps and repeats.
//   POST /v1/chat/completions, /v1/completions   GET /load   GET /cache-events?after=SEQ   POST /v1/cancel
//   POST /admin/orders   POST /faults   GET /stats
// Owned by the stand-in program; runs on one io_context.
class EngineStandin {
public:
    struct Options {
        std::chrono::microseconds prefillPerBlock = std::chrono::microseconds(200);
        std::chrono::microseconds firstToken = std::chrono::milliseconds(5);
        std::chrono::microseconds tokenGap = std::chrono::milliseconds(1);
        int slots = 8;
        // How much slower a token is with all slots busy than with one.
        double fullLoadFactor = 2;
        std::size_t cacheBlocks = 4096;
        std::chrono::milliseconds reportLag = std::chrono::milliseconds(500);
        bool rejectOldFencingTokens = true;
    };

    explicit EngineStandin(Options);

    asio::awaitable<void> handle(HttpExchange&);

private:
    struct Generation;
    struct Faults {
        double slowFactor = 1; // tokens take this many times as long
        bool silent = false; // streams stop without closing; new connections work
        std::string crashMarker; // the process exits when a prompt contains it
        std::int64_t truncateAfter = -1; // the connection closes after this many tokens
        bool crossRequestIds = false; // answers echo another request's id
        bool refuse = false; // answers 503 without running
    };
    struct Load {
        int running = 0;
        int waiting = 0;
        double tokensPerSecond = 0;
    };

    asio::awaitable<void> handleCompletion(HttpExchange&);
    asio::awaitable<void> handleFaults(HttpExchange&);
    asio::awaitable<void> handleOrder(HttpExchange&);
    asio::awaitable<void> handleCancel(HttpExchange&);
    asio::awaitable<void> respondJson(HttpExchange&, boost::json::object);
    asio::awaitable<void> waitForSlot(Generation&);
    asio::awaitable<void> generate(HttpExchange&, Generation&);
    asio::awaitable<void> streamTokens(HttpExchange&, Generation&);
    asio::awaitable<void> sendWhole(HttpExchange&, Generation&);
    // Produces the next token; false when the request was cancelled.
    asio::awaitable<bool> produceToken(Generation&);
    std::chrono::microseconds pace() const;
    void recordHeaders(const HttpExchange&);
    void startNextWaiting();
    boost::json::object describeLoad();
    boost::json::object describeCacheEvents(std::string_view target) const;
    boost::json::object describeStats() const;

    Options m_options;
    Faults m_faults;
    PrefixCache m_cache;
    int m_running = 0;
    // Waiting requests by priority level, then by arrival.
    std::multimap<int, Generation*> m_waiting;
    std::map<std::string, Generation*> m_active;
    Load m_reported;
    std::chrono::steady_clock::time_point m_reportedAt;
    std::uint64_t m_highestFencingToken = 0;
    std::set<std::string> m_orders;

    std::map<std::string, int> m_runsByRequest;
    std::int64_t m_tokensMade = 0;
    std::int64_t m_completed = 0;
    std::int64_t m_cancelled = 0;
    std::int64_t m_credentialsSeen = 0;
    std::int64_t m_received = 0;
};

} // namespace lagoonspoke
