#include "http/Endpoint.h"

#include <netinet/tcp.h>

#include <fmt/format.h>

#include "lagoonspoke/core/Text.h"

namespace lagoonspoke {

using namespace std::chrono_literals;

void setLivenessOptions(tcp::socket& socket, std::chrono::milliseconds bound, std::chrono::seconds keepaliveIdle)
{
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    using KeepaliveIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using KeepaliveInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using KeepaliveCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    auto interval = std::max(std::chrono::seconds(1), keepaliveIdle / 2);
    // Linux gives up by the user timeout, whatever the count; a network stack that does not should agree with it.
    auto probes = std::max<std::int64_t>(1, (bound - keepaliveIdle + interval - 1ms) / interval);
    error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    socket.set_option(asio::socket_base::keep_alive(true), ec);
    socket.set_option(UserTimeout(static_cast<int>(bound.count())), ec);
    socket.set_option(KeepaliveIdle(static_cast<int>(keepaliveIdle.count())), ec);
    socket.set_option(KeepaliveInterval(static_cast<int>(interval.count())), ec);
    socket.set_option(KeepaliveCount(static_cast<int>(probes)), ec);
}

Outcome<tcp::endpoint> parseEndpoint(std::string_view text)
{
    auto colon = text.rfind(':');
    if (colon != std::string_view::npos) {
        error_code ec;
        auto address = asio::ip::make_address(text.substr(0, colon), ec);
        if (auto port = parseNumber<std::uint16_t>(text.substr(colon + 1)); port && !ec) {
            return tcp::endpoint(address, *port);
        }
    }
    return makeError(ErrorCode::InvalidArgument, fmt::format("'{}' is not IP:port", text));
}

std::string formatEndpoint(const tcp::endpoint& endpoint)
{
    return fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port());
}

} // namespace lagoonspoke
