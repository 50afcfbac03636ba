#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "http/Asio.h"
#include "http/HeldInput.h"
#include "lagoonspoke/core/Error.h"

namespace lagoonspoke {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

// The headers with their names in lower case.
HeaderList copyHeaders(const http::fields&);

// A connection of a caller, over all its requests. Owned by HttpServer.
struct HttpConnection {
    HttpConnection(tcp::socket socket, const HeldInput& input)
        : stream(std::move(socket))
        , held(input)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    // Set by the handler, such as the digest of the API key that the last request carried; lets the owner of the
    // server close the idle connections of one caller.
    std::string owner;
    HeldInput::Share held; // of the present request
};

// Reads a request. Trailers are dropped as they arrive: they are not passed on, and may outweigh the body.
class RequestParser : public http::request_parser<http::string_body> {
private:
    void on_field_impl(http::field name, beast::string_view nameText, beast::string_view value, error_code&) override
    {
        if (!is_header_done()) {
            get().insert(name, nameText, value);
        }
    }
};

// Parses what the buffer has, or reads more of it. Unlike Beast's operation it returns after each read, so that what
// the buffer holds can be counted. Gives the bytes read. Errors: those of the parser and of the socket.
asio::awaitable<std::pair<error_code, std::size_t>> readStep(HttpConnection&, RequestParser&);

// One request of a connection and the response to it. Owned by HttpServer's session for the time of its handler.
// Every operation is bounded by the limits; after an error, or without a whole response, the connection closes when the
// handler returns.
class HttpExchange {
public:
    struct Limits {
        std::size_t maxHeaderBytes = 16 * 1024;
        std::size_t maxBodyBytes = 8 * 1024 * 1024;
        // Of what is read without becoming part of a head or a body: lines of chunks, trailers, and input that was read
        // ahead. The parser itself waits for the end of a line or of the trailers without a limit.
        std::size_t maxUnparsedBytes = 64 * 1024;
        std::chrono::nanoseconds idleTimeout = std::chrono::seconds(60);
        std::chrono::nanoseconds readTimeout = std::chrono::seconds(10);
        std::chrono::nanoseconds writeTimeout = std::chrono::seconds(10);
        // Whether a connection without a request in time gets an error before it closes.
        bool answersIdleTimeout = true;
    };
    using Parser = RequestParser;

    // The reference to serverClosing is read when a response starts: it then says "Connection: close".
    HttpExchange(HttpConnection&, Parser&, const Limits&, const bool& serverClosing);
    ~HttpExchange() { m_connection.held.release(); }
    HttpExchange(const HttpExchange&) = delete;
    HttpExchange& operator=(const HttpExchange&) = delete;

    const Parser::value_type& request() const { return m_parser.get(); }
    std::string_view target() const;
    std::string_view header(std::string_view name) const;

    // Counts what the request takes in memory; false if it has to be refused, as too much is held for all callers.
    bool holdInput(MonotonicTime now);
    // Reads the body. Errors: TooLarge, TimedOut, ProtocolViolation; Overloaded when too much is held for all callers,
    // or when the body stalled while others needed its memory or its connection; Unavailable when the connection ended.
    asio::awaitable<Outcome<std::string>> readBody();
    // After Overloaded, the time until there may be room for the request.
    Duration timeToRoom() const { return m_connection.held.timeToRoom(readMonotonicClock()); }

    asio::awaitable<error_code> respond(
        http::status, std::string_view contentType, std::string body, const HeaderList& headers = {});

    // A response of unknown length, sent in chunks. Without finishStream() the connection closes and the caller
    // sees a truncated response.
    asio::awaitable<error_code> startStream(http::status, std::string_view contentType, const HeaderList& headers = {});
    asio::awaitable<error_code> writeChunk(std::string_view data);
    asio::awaitable<error_code> finishStream();

    // A response of known length, followed by calls of writeBytes() that give exactly that many bytes. When fewer are
    // written, the connection closes and the caller sees a truncated response.
    asio::awaitable<error_code> startSized(
        http::status, std::string_view contentType, std::uint64_t length, const HeaderList& headers = {});
    asio::awaitable<error_code> writeBytes(std::string_view data);

    // Closes the connection when the handler returns.
    void closeAfter() { m_keepAlive = false; }
    // Whether the connection can carry another request.
    bool isReusable() const { return keepAlive() && m_responseComplete; }
    // Whether a write failed; nothing more can be sent.
    bool broken() const { return m_broken; }
    bool isHead() const { return request().method() == http::verb::head; }
    // Cancels the operation in progress. A cancelled write leaves the exchange broken.
    void cancel() { m_connection.stream.cancel(); }
    void setOwner(std::string owner) { m_connection.owner = std::move(owner); }
    tcp::socket& socket() { return m_connection.stream.socket(); }

private:
    bool keepAlive() const { return m_keepAlive && !m_serverClosing; }
    template <typename Response> void fillHead(Response&, std::string_view contentType, const HeaderList&);
    asio::awaitable<error_code> writeHead(http::response<http::empty_body>&);
    template <typename Buffers> asio::awaitable<error_code> write(Buffers);

    HttpConnection& m_connection;
    Parser& m_parser;
    const Limits& m_limits;
    const bool& m_serverClosing;
    std::size_t m_headBytes; // in memory, with the copies that are made of it
    bool m_keepAlive;
    std::uint64_t m_bodyLeft = 0; // bytes of a response of known length
    bool m_responseComplete = false;
    bool m_broken = false;
};

} // namespace lagoonspoke
