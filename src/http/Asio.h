#pragma once

#include <chrono>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace lagoonspoke {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

// Completion token for coroutines that receive the error code as a value.
inline constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);

// Bounds how long written data may stay unacknowledged before the kernel reports the connection as broken, and
// turns on keepalive, so that a connection that a middlebox forgot does not stay open for good.
void setLivenessOptions(
    tcp::socket&, std::chrono::milliseconds bound, std::chrono::seconds keepaliveIdle = std::chrono::seconds(5));

} // namespace lagoonspoke
