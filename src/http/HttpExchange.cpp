#include "http/HttpExchange.h"

#include <algorithm>

#include <absl/strings/ascii.h>
#include <fmt/format.h>

#include "http/ReadBound.h"

namespace lagoonspoke {

HeaderList copyHeaders(const http::fields& fields)
{
    HeaderList headers;
    for (const auto& field : fields) {
        headers.emplace_back(absl::AsciiStrToLower(std::string(field.name_string())), field.value());
    }
    return headers;
}

namespace {

// What a header field takes besides its text: the parser's entry, and those of the copies that a request makes.
constexpr std::size_t fieldBytes = 224;
// The parser's text of the head, and the one that is forwarded.
constexpr std::size_t headCopies = 2;
constexpr std::size_t minReadBytes = 512;
constexpr std::size_t maxReadBytes = 16 * 1024;

std::size_t measureFields(const http::fields& fields)
{
    std::size_t bytes = 0;
    for (const auto& field : fields) {
        bytes += fieldBytes + headCopies * (field.name_string().size() + field.value().size());
    }
    return bytes;
}

} // namespace

asio::awaitable<std::pair<error_code, std::size_t>> readStep(HttpConnection& connection, RequestParser& parser)
{
    auto& buffer = connection.buffer;
    error_code ec;
    if (buffer.size() > 0) {
        buffer.consume(parser.put(buffer.data(), ec));
        if (ec != http::error::need_more) {
            co_return std::pair(ec, std::size_t(0));
        }
    }
    auto room = buffer.max_size() - std::min(buffer.max_size(), buffer.size());
    if (room == 0) {
        co_return std::pair(error_code(http::error::buffer_overflow), std::size_t(0));
    }
    auto space
        = buffer.prepare(std::min(room, std::clamp(buffer.capacity() - buffer.size(), minReadBytes, maxReadBytes)));
    auto [readError, n] = co_await connection.stream.async_read_some(space, useTuple);
    if (readError == asio::error::eof) {
        readError = parser.got_some() ? http::error::partial_message : http::error::end_of_stream;
    }
    buffer.commit(n);
    if (n == space.size()) {
        // More is waiting, so the next read takes more at once.
        buffer.reserve(std::min({ 2 * buffer.capacity(), maxReadBytes, buffer.max_size() }));
    }
    co_return std::pair(error_code(readError), n);
}

HttpExchange::HttpExchange(HttpConnection& connection, Parser& parser, const Limits& limits, const bool& serverClosing)
    : m_connection(connection)
    , m_parser(parser)
    , m_limits(limits)
    , m_serverClosing(serverClosing)
    , m_headBytes(measureFields(parser.get()))
    , m_keepAlive(parser.get().keep_alive())
{
    // Where such a body ends is not known, so what follows must not be read as a request.
    bool unknownEnd = request().count(http::field::transfer_encoding) > 0 && !request().chunked();
    if (unknownEnd) {
        m_keepAlive = false;
    }
}

std::string_view HttpExchange::target() const
{
    return { request().target().data(), request().target().size() };
}

std::string_view HttpExchange::header(std::string_view name) const
{
    auto value = request()[{ name.data(), name.size() }];
    return { value.data(), value.size() };
}

asio::awaitable<Outcome<std::string>> HttpExchange::readBody()
{
    if (header("Expect") == "100-continue") {
        static constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await write(asio::buffer(interim));
    }
    auto tooLarge = [this] {
        m_keepAlive = false;
        return makeError(ErrorCode::TooLarge, fmt::format("the body is larger than {} bytes", m_limits.maxBodyBytes));
    };
    m_parser.body_limit(m_limits.maxBodyBytes);
    if (auto length = m_parser.content_length(); length && *length > m_limits.maxBodyBytes) {
        co_return tooLarge();
    }
    ReadBound bound(m_connection.stream, m_limits.readTimeout);
    m_parser.eager(true);
    error_code ec;
    auto& held = m_connection.held;
    auto now = readMonotonicClock();
    held.startReading(now, [this] { m_connection.stream.cancel(); });
    while (holdInput(now) && !ec && !m_parser.is_done()) {
        auto [readError, n] = co_await readStep(m_connection, m_parser);
        ec = readError;
        now = readMonotonicClock();
        held.noteReceived(n, now);
    }
    held.stopReading();
    if (held.admission() != InputAdmission::Admitted) {
        m_keepAlive = false;
        m_parser.get().body() = {};
        co_return makeError(ErrorCode::Overloaded, "too many bytes of requests are held");
    }
    if (!ec) {
        co_return std::move(m_parser.get().body());
    }
    m_keepAlive = false;
    if (ec == http::error::body_limit) {
        co_return tooLarge();
    }
    if (bound.expired()) {
        co_return makeError(ErrorCode::TimedOut, "the body did not arrive in time");
    }
    static const auto& httpCategory = http::make_error_code(http::error::bad_method).category();
    bool ended
        = ec.category() != httpCategory || ec == http::error::partial_message || ec == http::error::end_of_stream;
    co_return makeError(ended ? ErrorCode::Unavailable : ErrorCode::ProtocolViolation, ec.message());
}

bool HttpExchange::holdInput(MonotonicTime now)
{
    auto bytes = m_headBytes + m_parser.get().body().size() + m_connection.buffer.capacity();
    return m_connection.held.hold(bytes, now) == InputAdmission::Admitted;
}

template <typename Response>
void HttpExchange::fillHead(Response& response, std::string_view contentType, const HeaderList& headers)
{
    // Unread body bytes would be taken for the next request.
    if (!m_parser.is_done()) {
        m_keepAlive = false;
    }
    if (!contentType.empty()) {
        response.set(http::field::content_type, { contentType.data(), contentType.size() });
    }
    for (const auto& [name, value] : headers) {
        response.insert(name, value);
    }
    response.keep_alive(keepAlive());
}

template <typename Buffers> asio::awaitable<error_code> HttpExchange::write(Buffers buffers)
{
    m_connection.stream.expires_after(m_limits.writeTimeout);
    auto [ec, n] = co_await asio::async_write(m_connection.stream, buffers, useTuple);
    if (ec) {
        m_keepAlive = false;
        m_broken = true;
    }
    co_return ec;
}

asio::awaitable<error_code> HttpExchange::writeHead(http::response<http::empty_body>& response)
{
    http::response_serializer<http::empty_body> serializer(response);
    m_connection.stream.expires_after(m_limits.writeTimeout);
    auto [ec, n] = co_await http::async_write_header(m_connection.stream, serializer, useTuple);
    if (ec) {
        m_keepAlive = false;
        m_broken = true;
    }
    co_return ec;
}

asio::awaitable<error_code> HttpExchange::respond(
    http::status status, std::string_view contentType, std::string body, const HeaderList& headers)
{
    if (isHead()) {
        co_return co_await startSized(status, contentType, body.size(), headers);
    }
    http::response<http::string_body> response(status, 11);
    fillHead(response, contentType, headers);
    response.body() = std::move(body);
    response.prepare_payload();
    m_connection.stream.expires_after(m_limits.writeTimeout);
    auto [ec, n] = co_await http::async_write(m_connection.stream, response, useTuple);
    if (ec) {
        m_keepAlive = false;
        m_broken = true;
    }
    m_responseComplete = !ec;
    co_return ec;
}

asio::awaitable<error_code> HttpExchange::startStream(
    http::status status, std::string_view contentType, const HeaderList& headers)
{
    http::response<http::empty_body> response(status, 11);
    fillHead(response, contentType, headers);
    response.chunked(true);
    co_return co_await writeHead(response);
}

asio::awaitable<error_code> HttpExchange::startSized(
    http::status status, std::string_view contentType, std::uint64_t length, const HeaderList& headers)
{
    http::response<http::empty_body> response(status, 11);
    fillHead(response, contentType, headers);
    bool hasNoBody = status == http::status::no_content || status == http::status::not_modified;
    if (!hasNoBody) {
        response.content_length(length);
    }
    m_bodyLeft = hasNoBody || isHead() ? 0 : length;
    m_responseComplete = m_bodyLeft == 0;
    co_return co_await writeHead(response);
}

asio::awaitable<error_code> HttpExchange::writeBytes(std::string_view data)
{
    m_bodyLeft -= std::min<std::uint64_t>(m_bodyLeft, data.size());
    m_responseComplete = m_bodyLeft == 0;
    return write(asio::buffer(data));
}

asio::awaitable<error_code> HttpExchange::writeChunk(std::string_view data)
{
    return write(http::make_chunk(asio::buffer(data)));
}

asio::awaitable<error_code> HttpExchange::finishStream()
{
    m_responseComplete = true;
    return write(http::make_chunk_last());
}

} // namespace lagoonspoke
