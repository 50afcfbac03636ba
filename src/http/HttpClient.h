#pragma once

#include <string>

#include "http/HttpExchange.h"

namespace lagoonspoke {

struct HttpReply {
    int status = 0;
    std::string body;
    HeaderList headers; // names in lower case
    bool keepAlive = false; // whether the connection can carry another call

    // The header's value, or an empty string.
    std::string_view header(std::string_view lowerCaseName) const;
};

struct HttpCall {
    std::string method = "GET";
    std::string target;
    std::string body;
    HeaderList headers;
};

// Sends one request on a connection of its own and reads the whole reply, within the bound.
// Errors: Unavailable when no byte was sent; TimedOut or ProtocolViolation when the effect of the call is unknown.
asio::awaitable<Outcome<HttpReply>> callHttp(
    tcp::endpoint, HttpCall, std::chrono::nanoseconds bound, std::size_t maxReplyBytes = 16 << 20);

// The same on an open connection, which stays open if the reply allows it. The buffer keeps what was read too far.
asio::awaitable<Outcome<HttpReply>> callOn(beast::tcp_stream&, beast::flat_buffer&, tcp::endpoint, HttpCall,
    std::chrono::nanoseconds bound, std::size_t maxReplyBytes);

} // namespace lagoonspoke
