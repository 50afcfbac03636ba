#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "entry/TunnelReader.h"
#include "http/HttpExchange.h"
#include "lagoonspoke/core/Error.h"
#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// What ends the body of an answer.
enum class AnswerFraming {
    Length,
    Chunks,
    ConnectionEnd,
};

std::string_view toString(AnswerFraming);

// How the attempt to reach a server through a peer ended.
enum class TunnelOutcome {
    Open,
    ServerUnreachable, // also for the peer
    PeerUnavailable, // which says nothing of the server
};

// A connection to a backend server, with one request at a time. Owned by the coroutine of the request that it
// carries, or by the BackendPool while it is idle.
class BackendConnection {
public:
    BackendConnection(asio::any_io_executor, std::string address);

    const std::string& address() const { return m_address; }
    // Whether it carried an earlier request.
    bool reused() const { return m_requests > 1; }

    asio::awaitable<error_code> connect(Duration bound);
    // Connects through the instance with this peer address, after connect() failed or in place of it.
    asio::awaitable<TunnelOutcome> connectThrough(tcp::endpoint peer, Duration bound);
    bool isTunnelled() const { return m_tunnel.has_value(); }
    bool isClosed() const { return m_closed; }
    // Writes head and body; written gets the number of bytes that the kernel accepted. The texts must stay valid.
    asio::awaitable<error_code> send(
        std::string_view head, std::string_view body, std::size_t& written, Duration bound);
    // Reads the head of the response and skips interim responses. The response to a HEAD request has no body.
    asio::awaitable<error_code> readHead(bool headRequest, Duration bound);
    // Reads the next part of the body; an empty part with no error is the complete end.
    asio::awaitable<error_code> readSome(std::string& part, Duration bound);
    // Waits until bytes of no request's answer arrive, and drops them. Errors: of the connection, or timeout.
    asio::awaitable<error_code> awaitBytes(Duration bound);
    // Reads the body of an answer that is not wanted, up to 64 KiB; false when that is not possible.
    asio::awaitable<bool> skipAnswer(Duration bound);
    const http::response_header<>& head() const { return m_parser->get(); }
    std::optional<std::uint64_t> contentLength() const;
    AnswerFraming framing() const;
    bool isDone() const { return m_parser && m_parser->is_done(); }

    // Whether the response is complete, no byte came after it, and the server keeps the connection open.
    bool isReusable();
    // Whether an idle connection is still open and received nothing.
    bool isStillIdle();
    // Makes room for the next request.
    void startRequest();
    void close();

private:
    asio::awaitable<error_code> readHeader();
    asio::awaitable<std::pair<error_code, std::size_t>> receive(asio::mutable_buffer);
    // Moves the body bytes that the buffer has to the part.
    error_code parseBody(std::string& part);

    std::string m_address;
    beast::tcp_stream m_stream;
    std::optional<TunnelReader> m_tunnel; // none on a connection to the server itself
    beast::flat_buffer m_buffer;
    std::optional<http::response_parser<http::buffer_body>> m_parser;
    int m_requests = 0;
    bool m_closed = false;
};

} // namespace lagoonspoke
