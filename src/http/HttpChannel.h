#pragma once

#include <list>
#include <memory>

#include "http/HttpClient.h"

namespace lagoonspoke {

// Calls to one endpoint over kept connections, one call at a time on each. Shared by the clients of one outside
// interface, which outlive their running calls; used on one thread only.
class HttpChannel {
public:
    explicit HttpChannel(tcp::endpoint);
    ~HttpChannel();

    // Sends one request and reads the whole reply, within the bound. Errors as of callHttp(). Before the request is
    // written, mayWrite is asked if there is one, and without its consent nothing is sent.
    asio::awaitable<Outcome<HttpReply>> call(
        HttpCall, std::chrono::nanoseconds bound, std::function<bool()> mayWrite = {});
    // Ends the running calls and closes every connection.
    void closeConnections();
    // Closes the connections that no call runs on.
    void closeIdleConnections() { m_state->idle.clear(); }

private:
    struct Connection;
    struct State {
        std::list<std::shared_ptr<Connection>> idle; // the last used one at the back
        std::list<std::shared_ptr<Connection>> busy;
    };

    asio::awaitable<Outcome<std::shared_ptr<Connection>>> open(std::chrono::nanoseconds bound);

    tcp::endpoint m_endpoint;
    std::shared_ptr<State> m_state;
};

} // namespace lagoonspoke
