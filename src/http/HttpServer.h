#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string_view>

#include "http/HttpExchange.h"

namespace lagoonspoke {

// Accepts HTTP/1.1 connections on one io_context and runs a handler for each request.
// Owned by the supervisor of the thread that runs the io_context; every member is called on that thread.
class HttpServer {
public:
    using Handler = std::function<asio::awaitable<void>(HttpExchange&)>;

    struct Options {
        HttpExchange::Limits limits;
        // Beyond it, the connection that has been idle for longest makes room for a new one, then one whose head is not
        // complete, then one whose body has stalled.
        std::size_t maxConnections = 4096;
        // Of the requests of all connections.
        HeldInput::Limits heldInput;
        // Called when a limit was reached that ordinary callers do not reach, with its name.
        std::function<void(std::string_view limit)> limitReached = {};
        // Lets several servers, one for each thread, listen on the same port.
        bool sharePort = false;
    };

    // Binds and listens. Errors: Unavailable when the address cannot be bound.
    static Outcome<std::unique_ptr<HttpServer>> Make(asio::io_context&, const tcp::endpoint&, Options, Handler);
    ~HttpServer();

    tcp::endpoint endpoint() const { return m_endpoint; }
    void start();
    // Replaces the limits, also for open connections.
    void setLimits(const HttpExchange::Limits&);
    // Stops accepting. Idle connections close at once; the others close after the request that they run.
    void closeListener();
    // Closes the idle connections whose owner, as set by the handler, the predicate selects.
    void closeIdleConnections(const std::function<bool(const std::string& owner)>&);
    // Closes every connection at once.
    void abortConnections();
    std::size_t connectionCount() const;
    std::size_t activeRequestCount() const;
    // Bytes of requests that are held at present.
    std::size_t heldBytes() const;

private:
    struct State;

    HttpServer(std::shared_ptr<State>, tcp::endpoint);

    std::shared_ptr<State> m_state;
    tcp::endpoint m_endpoint;
};

} // namespace lagoonspoke
