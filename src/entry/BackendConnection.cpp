#include "entry/BackendConnection.h"

#include <algorithm>
#include <array>

#include "http/CallerWatch.h"
#include "http/Endpoint.h"
#include "wire/Tunnel.h"

namespace lagoonspoke {

namespace {

// Bounds the interim (1xx) responses before the response itself.
constexpr int maxInterim = 8;
// Other statuses have no class, so they say neither how an answer ends nor what it means (RFC 9110, section 15).
constexpr unsigned lowestStatus = 100;
constexpr unsigned highestStatus = 599;
constexpr std::uint32_t maxHeadBytes = 64 * 1024;
// Bounds what is read without becoming part of a body: chunk size lines with their extensions, and trailers. The parser
// itself waits for their ends without a bound.
constexpr std::size_t maxUnparsedBytes = 64 * 1024;
// A token's event fits in the smallest read.
constexpr std::size_t minReadBytes = 1024;
constexpr std::size_t maxReadBytes = 16 * 1024;
constexpr std::chrono::seconds unacknowledgedBound(5);

} // namespace

std::string_view toString(AnswerFraming framing)
{
    switch (framing) {
    case AnswerFraming::Length:
        return "length";
    case AnswerFraming::Chunks:
        return "chunks";
    case AnswerFraming::ConnectionEnd:
        break;
    }
    return "connection_end";
}

BackendConnection::BackendConnection(asio::any_io_executor executor, std::string address)
    : m_address(std::move(address))
    , m_stream(std::move(executor))
{
}

asio::awaitable<error_code> BackendConnection::connect(Duration bound)
{
    auto endpoint = parseEndpoint(m_address);
    if (!endpoint) {
        co_return asio::error::make_error_code(asio::error::invalid_argument);
    }
    m_stream.close();
    m_stream.expires_after(bound);
    auto [ec] = co_await m_stream.async_connect(*endpoint, useTuple);
    if (!ec && m_closed) {
        co_return asio::error::make_error_code(asio::error::operation_aborted);
    }
    if (!ec) {
        setLivenessOptions(m_stream.socket(), unacknowledgedBound);
    }
    co_return ec;
}

asio::awaitable<TunnelOutcome> BackendConnection::connectThrough(tcp::endpoint peer, Duration bound)
{
    auto request = encodeFrame(PayloadFrame { tunnelChannel, m_address });
    if (!request) {
        co_return TunnelOutcome::PeerUnavailable;
    }
    m_stream.close();
    m_stream.expires_after(bound);
    auto [connectError] = co_await m_stream.async_connect(peer, useTuple);
    if (connectError || m_closed) {
        co_return TunnelOutcome::PeerUnavailable;
    }
    setLivenessOptions(m_stream.socket(), unacknowledgedBound);
    auto [writeError, written] = co_await asio::async_write(m_stream, asio::buffer(*request), useTuple);
    if (writeError) {
        co_return TunnelOutcome::PeerUnavailable;
    }
    TunnelReader reader;
    auto [readError, reply] = co_await reader.readFrame(m_stream);
    if (readError || m_closed || reply == tunnelUnavailable) {
        co_return TunnelOutcome::PeerUnavailable;
    }
    if (reply != tunnelOpen) {
        co_return TunnelOutcome::ServerUnreachable;
    }
    m_tunnel = std::move(reader);
    co_return TunnelOutcome::Open;
}

asio::awaitable<std::pair<error_code, std::size_t>> BackendConnection::receive(asio::mutable_buffer space)
{
    if (m_tunnel) {
        co_return co_await m_tunnel->readSome(m_stream, space);
    }
    auto [ec, n] = co_await m_stream.async_read_some(space, useTuple);
    co_return std::pair(ec, n);
}

// What Beast's read operation does on a stream; it cannot read from a tunnel.
asio::awaitable<error_code> BackendConnection::readHeader()
{
    if (!m_tunnel) {
        auto [ec, n] = co_await http::async_read_header(m_stream, m_buffer, *m_parser, useTuple);
        co_return ec;
    }
    error_code ec;
    while (true) {
        if (m_buffer.size() > 0) {
            m_buffer.consume(m_parser->put(m_buffer.data(), ec));
            if (m_parser->is_header_done() || (ec && ec != http::error::need_more)) {
                co_return ec;
            }
        }
        auto [readError, n] = co_await receive(m_buffer.prepare(minReadBytes));
        if (readError == asio::error::eof) {
            co_return error_code(m_parser->got_some() ? http::error::partial_message : http::error::end_of_stream);
        }
        if (readError) {
            co_return readError;
        }
        m_buffer.commit(n);
    }
}

asio::awaitable<error_code> BackendConnection::send(
    std::string_view head, std::string_view body, std::size_t& written, Duration bound)
{
    const std::array<asio::const_buffer, 2> buffers { asio::buffer(head), asio::buffer(body) };
    m_stream.expires_after(bound);
    auto [ec, n] = co_await asio::async_write(m_stream, buffers, useTuple);
    written = n;
    co_return ec;
}

asio::awaitable<error_code> BackendConnection::readHead(bool headRequest, Duration bound)
{
    m_stream.expires_after(bound);
    for (int i = 0; i < maxInterim; ++i) {
        m_parser.emplace();
        m_parser->body_limit(boost::none);
        m_parser->header_limit(maxHeadBytes);
        m_parser->skip(headRequest);
        auto ec = co_await readHeader();
        auto status = m_parser->get().result_int();
        if (!ec && (status < lowestStatus || status > highestStatus)) {
            co_return error_code(http::error::bad_status);
        }
        if (ec || status >= 200) {
            co_return ec;
        }
    }
    co_return error_code(http::error::bad_status);
}

// Beast's own read operation needs its output buffer during the wait, 16 KiB for each open stream; parsing apart from
// reading needs it only for the call.
asio::awaitable<error_code> BackendConnection::readSome(std::string& part, Duration bound)
{
    part.clear();
    m_stream.expires_after(bound);
    error_code ec;
    while (true) {
        ec = parseBody(part);
        if (ec || !part.empty() || m_parser->is_done()) {
            co_return ec;
        }
        if (m_buffer.size() > maxUnparsedBytes) {
            co_return error_code(http::error::buffer_overflow);
        }
        auto space = m_buffer.prepare(std::clamp(m_buffer.capacity(), minReadBytes, maxReadBytes));
        auto [readError, n] = co_await receive(space);
        if (readError == asio::error::eof) {
            m_parser->put_eof(ec);
            co_return ec;
        }
        if (readError) {
            co_return readError;
        }
        m_buffer.commit(n);
        if (n == space.size()) {
            // More is waiting, so the next read takes more at once.
            m_buffer.reserve(std::min(2 * m_buffer.capacity(), maxReadBytes));
        }
    }
}

asio::awaitable<error_code> BackendConnection::awaitBytes(Duration bound)
{
    m_stream.expires_after(bound);
    auto [ec, n] = co_await receive(m_buffer.prepare(minReadBytes));
    co_return ec;
}

asio::awaitable<bool> BackendConnection::skipAnswer(Duration bound)
{
    constexpr std::size_t mostSkipped = 64 * 1024;
    if (framing() == AnswerFraming::ConnectionEnd) {
        co_return false;
    }
    std::string part;
    std::size_t total = 0;
    while (!isDone()) {
        auto ec = co_await readSome(part, bound);
        total += part.size();
        if (ec || total > mostSkipped) {
            co_return false;
        }
    }
    co_return true;
}

error_code BackendConnection::parseBody(std::string& part)
{
    std::array<char, 16 * 1024> buf;
    while (part.empty() && !m_parser->is_done() && m_buffer.size() > 0) {
        auto& body = m_parser->get().body();
        body.data = buf.data();
        body.size = buf.size();
        error_code ec;
        m_buffer.consume(m_parser->put(m_buffer.data(), ec));
        part.assign(buf.data(), buf.size() - body.size);
        if (ec == http::error::need_more) {
            return error_code();
        }
        if (ec && ec != http::error::need_buffer) {
            return ec;
        }
    }
    return error_code();
}

std::optional<std::uint64_t> BackendConnection::contentLength() const
{
    auto length = m_parser->content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

AnswerFraming BackendConnection::framing() const
{
    if (m_parser->chunked()) {
        return AnswerFraming::Chunks;
    }
    return m_parser->content_length() ? AnswerFraming::Length : AnswerFraming::ConnectionEnd;
}

bool BackendConnection::isReusable()
{
    return !m_closed && isDone() && m_parser->keep_alive() && m_buffer.size() == 0 && isStillIdle();
}

bool BackendConnection::isStillIdle()
{
    return !m_closed && (!m_tunnel || !m_tunnel->hasUnread()) && isQuiet(m_stream.socket());
}

void BackendConnection::startRequest()
{
    ++m_requests;
    m_parser.reset();
}

void BackendConnection::close()
{
    m_closed = true;
    m_stream.close();
}

} // namespace lagoonspoke
