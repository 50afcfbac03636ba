#pragma once

#include "http/Asio.h"
#include "http/CallerError.h"
#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// Sends an error on a connection whose request was not read, or not whole. With 503, tells the caller to come back
// after the time, or 200 ms if that is longer.
asio::awaitable<void> reject(beast::tcp_stream&, CallerError, Duration retryAfter = {});

// Gives the other side time to read the last response, then closes the connection.
asio::awaitable<void> lingerAndClose(beast::tcp_stream&);

} // namespace lagoonspoke
