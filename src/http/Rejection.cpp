#include "http/Rejection.h"

#include <algorithm>
#include <array>
#include <string>

#include <fmt/format.h>

#include "http/ReadBound.h"

namespace lagoonspoke {

namespace {

// Time for the other side to read the last response; closing at once with unread input would make the kernel
// discard it.
constexpr auto lingerBound = std::chrono::seconds(1);
// Time after which a refused caller may come back where nothing tells when there is room.
constexpr Duration shortestRetry = std::chrono::milliseconds(200);

std::string formatRejection(CallerError error, Duration retryAfter)
{
    auto body = formatErrorBody(error, RunStatus::NotRun);
    auto status = httpStatusOf(error);
    auto retry
        = status == 503 ? fmt::format("retry-after: {:.3f}\r\n", toSeconds(std::max(retryAfter, shortestRetry))) : "";
    return fmt::format("HTTP/1.1 {} {}\r\ncontent-type: application/json\r\nx-lagoonspoke-run: not-run\r\n{}"
                       "connection: close\r\ncontent-length: {}\r\n\r\n{}",
        status, std::string(http::obsolete_reason(http::int_to_status(status))), retry, body.size(), body);
}

} // namespace

asio::awaitable<void> reject(beast::tcp_stream& stream, CallerError error, Duration retryAfter)
{
    auto response = formatRejection(error, retryAfter);
    stream.expires_after(lingerBound);
    co_await asio::async_write(stream, asio::buffer(response), useTuple);
}

asio::awaitable<void> lingerAndClose(beast::tcp_stream& stream)
{
    error_code ec;
    stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    std::array<char, 4096> buf;
    {
        ReadBound bound(stream, lingerBound);
        while (!ec && !bound.expired()) {
            auto [readError, n] = co_await stream.async_read_some(asio::buffer(buf), useTuple);
            ec = readError;
        }
    }
    stream.close();
}

} // namespace lagoonspoke
