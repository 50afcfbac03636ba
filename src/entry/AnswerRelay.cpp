#include "entry/AnswerRelay.h"

#include <algorithm>

#include <absl/strings/match.h>
#include <fmt/format.h>

#include "lagoonspoke/core/Overload.h"

namespace lagoonspoke {

namespace {

// Answers up to this size are held until they are whole, so that a broken one can still be repeated.
constexpr std::uint64_t maxWholeBytes = 1 << 20;
// The same for answers without a length, whose buffers grow, and which may have no end.
constexpr std::uint64_t maxUnframedBytes = 64 << 10;

bool isEventStream(std::string_view contentType)
{
    return absl::StartsWithIgnoreCase(std::string(contentType), "text/event-stream");
}

RequestEvent callerLost(error_code ec)
{
    return Stopped { ec == beast::error::timeout ? CallerError::CallerStalled : CallerError::CallerLeft };
}

} // namespace

AttemptFailure failureOf(error_code ec)
{
    static const auto& httpCategory = http::make_error_code(http::error::bad_method).category();
    if (ec == beast::error::timeout) {
        return AttemptFailure::TimedOut;
    }
    bool ended = ec == http::error::end_of_stream || ec == http::error::partial_message;
    return ec.category() == httpCategory && !ended ? AttemptFailure::Protocol : AttemptFailure::Broken;
}

AnswerRelay::AnswerRelay(
    HttpExchange& exchange, const DaemonSettings& settings, HeldBytes& held, AnswerObserver& observer)
    : m_exchange(exchange)
    , m_settings(settings)
    , m_held(held)
    , m_share(held)
    , m_observer(observer)
{
}

void AnswerRelay::readHead(const BackendConnection& connection)
{
    const auto& head = connection.head();
    // The library's names do not cover all statuses.
    m_status = static_cast<http::status>(head.result_int());
    auto contentType = head[http::field::content_type];
    m_contentType.assign(contentType.data(), contentType.size());
}

void AnswerRelay::setHeaders(HeaderList headers)
{
    if (!m_started) {
        m_headers = std::move(headers);
    }
}

asio::awaitable<RequestEvent> AnswerRelay::relay(BackendConnection& connection, const AdmittedRequest& request)
{
    bool completion = request.kind == RouteKind::Completion;
    if (!m_started) {
        readHead(connection);
    }
    m_tokens.startAttempt();
    m_events.reset();
    m_numberedEvents.startAttempt();
    m_sawToken = false;
    m_mostPause = m_settings.tokenGapTimeout;
    auto length = connection.contentLength();
    m_bodyless = m_exchange.isHead() || m_status == http::status::no_content || m_status == http::status::not_modified;
    if (m_bodyless) {
        m_bodylessLength = length;
        m_mode = Mode::Whole;
        m_observer.noteReceived(0);
        co_return AnswerCompleted {};
    }
    if (completion && m_status == http::status::ok && isEventStream(m_contentType)) {
        m_mode = Mode::Events;
        co_return co_await relayEvents(connection);
    }
    if (request.kind == RouteKind::EventStream && m_status == http::status::ok && isEventStream(m_contentType)) {
        m_mode = Mode::NumberedEvents;
        m_mostPause = std::max(m_mostPause, request.classSpec->callerPatience);
        co_return co_await relayEvents(connection);
    }
    if (request.kind == RouteKind::EventStream && http::to_status_class(m_status) == http::status_class::successful) {
        co_return AttemptFailed { AttemptFailure::Protocol };
    }
    bool unframed = connection.framing() == AnswerFraming::ConnectionEnd;
    if (unframed && !m_settings.acceptsUnframedAnswers) {
        // The end of such an answer cannot be told from a broken connection.
        co_return AttemptFailed { AttemptFailure::Protocol };
    }
    if (completion || unframed || (length && *length <= maxWholeBytes)) {
        co_return co_await relayWhole(connection, completion);
    }
    co_return co_await relayParts(connection, {});
}

asio::awaitable<error_code> AnswerRelay::readPart(BackendConnection& connection, std::string& part, Duration bound)
{
    // An interruption that arrived during a write to the caller.
    if (m_observer.isInterrupted()) {
        co_return asio::error::operation_aborted;
    }
    m_observer.setWait(Wait::Backend);
    auto ec = co_await connection.readSome(part, bound);
    m_observer.setWait(Wait::Nothing);
    co_return ec;
}

asio::awaitable<error_code> AnswerRelay::startAnswer(std::uint64_t length)
{
    if (m_started) {
        co_return error_code();
    }
    m_started = true;
    m_observer.noteCallerReached();
    m_observer.setWait(Wait::Caller);
    auto start = m_mode == Mode::Sized ? m_exchange.startSized(m_status, m_contentType, length, m_headers)
                                       : m_exchange.startStream(m_status, m_contentType, m_headers);
    auto ec = co_await std::move(start);
    m_observer.setWait(Wait::Nothing);
    co_return ec;
}

asio::awaitable<error_code> AnswerRelay::writeParts(std::string_view data)
{
    m_observer.setWait(Wait::Caller);
    auto write = m_mode == Mode::Sized ? m_exchange.writeBytes(data) : m_exchange.writeChunk(data);
    auto ec = co_await std::move(write);
    m_observer.setWait(Wait::Nothing);
    co_return ec;
}

bool AnswerRelay::mayHold(std::size_t bytes, bool hasLength, bool completion) const
{
    auto limit = static_cast<std::size_t>(m_settings.maxBodyBytes);
    // Other answers can be passed on; this one would be lost. Up to the smaller limit it is held at any rate.
    if (completion) {
        return bytes <= maxWholeBytes || (bytes <= limit && m_held.hasRoom());
    }
    return bytes <= (hasLength ? maxWholeBytes : maxUnframedBytes) && m_held.hasRoom();
}

asio::awaitable<RequestEvent> AnswerRelay::relayWhole(BackendConnection& connection, bool completion)
{
    m_mode = Mode::Whole;
    m_tail.clear();
    m_share.set(0);
    auto length = connection.contentLength();
    m_tail.reserve(std::min(length.value_or(0), maxWholeBytes));
    std::string part;
    while (true) {
        if (auto ec = co_await readPart(connection, part, m_settings.tokenGapTimeout)) {
            co_return AttemptFailed { failureOf(ec) };
        }
        if (part.empty()) {
            break;
        }
        if (m_tail.empty()) {
            m_observer.noteReceived(0);
        }
        m_tail += part;
        m_share.set(m_tail.size());
        if (mayHold(m_tail.size(), length.has_value(), completion)) {
            continue;
        }
        if (completion) {
            co_return AttemptFailed { AttemptFailure::Protocol };
        }
        co_return co_await relayParts(connection, std::move(m_tail));
    }
    if (completion) {
        m_tokens.observeBody(m_tail);
    }
    co_return AnswerCompleted {};
}

asio::awaitable<RequestEvent> AnswerRelay::relayParts(BackendConnection& connection, std::string held)
{
    auto length = connection.contentLength();
    m_mode = length ? Mode::Sized : Mode::Chunked;
    auto part = std::move(held);
    m_tail.clear();
    while (true) {
        if (part.empty()) {
            if (auto ec = co_await readPart(connection, part, m_settings.tokenGapTimeout)) {
                co_return AttemptFailed { failureOf(ec) };
            }
        }
        if (part.empty()) {
            co_return AnswerCompleted {};
        }
        m_observer.noteReceived(0);
        if (auto ec = co_await startAnswer(length.value_or(0))) {
            co_return callerLost(ec);
        }
        if (m_mode == Mode::Sized) {
            // One part behind, so that the last bytes stay back.
            std::swap(part, m_tail);
        }
        if (!part.empty()) {
            if (auto ec = co_await writeParts(part)) {
                co_return callerLost(ec);
            }
        }
        part = {};
        m_share.set(m_tail.size());
    }
}

asio::awaitable<RequestEvent> AnswerRelay::relayEvents(BackendConnection& connection)
{
    std::string part;
    auto eventsBefore = m_eventCount;
    m_lastEventAt = readMonotonicClock();
    while (true) {
        // A part of an event does not extend the time for the whole one.
        auto bound = m_mostPause - (readMonotonicClock() - m_lastEventAt);
        if (bound <= Duration(0)) {
            co_return AttemptFailed { AttemptFailure::TimedOut };
        }
        if (auto ec = co_await readPart(connection, part, bound)) {
            co_return AttemptFailed { failureOf(ec) };
        }
        if (part.empty()) {
            m_tail.clear();
            bool numbered = m_mode == Mode::NumberedEvents;
            co_return endOfEvents(connection, numbered ? m_numberedEvents.hasEvents() : m_eventCount > eventsBefore);
        }
        auto before = eventCount();
        auto relayed = m_mode == Mode::NumberedEvents ? relayNumberedPart(part) : relayPart(part);
        if (auto event = co_await std::move(relayed)) {
            co_return *event;
        }
        if (eventCount() > before) {
            m_lastEventAt = readMonotonicClock();
        }
    }
}

RequestEvent AnswerRelay::endOfEvents(const BackendConnection& connection, bool hasEvents) const
{
    bool numbered = m_mode == Mode::NumberedEvents;
    bool partial = numbered ? m_numberedEvents.hasPartialEvent() : m_events.hasPartialEvent();
    // The end of the connection may also be that of a broken stream, so it must follow a whole event.
    bool unframed = connection.framing() == AnswerFraming::ConnectionEnd;
    if (unframed && (!hasEvents || partial)) {
        return AttemptFailed { AttemptFailure::Broken };
    }
    // A clean end is that of a numbered stream, but for half an event; without [DONE] no other stream is whole.
    return numbered && !partial ? RequestEvent(AnswerCompleted {}) : AttemptFailed { AttemptFailure::Protocol };
}

bool AnswerRelay::endedWithConnection(const BackendConnection& connection) const
{
    // Streams of completions have an end marker.
    return !m_bodyless && m_mode != Mode::Events && connection.framing() == AnswerFraming::ConnectionEnd;
}

std::uint64_t AnswerRelay::eventCount() const
{
    return m_mode == Mode::NumberedEvents ? m_numberedEvents.eventCount() : m_eventCount;
}

asio::awaitable<std::optional<RequestEvent>> AnswerRelay::relayPart(std::string_view part)
{
    m_events.append(part);
    m_tail.clear();
    int tokens = 0;
    bool done = false;
    std::optional<FaultyPart> faulty;
    while (auto event = done ? std::nullopt : m_events.next()) {
        ++m_eventCount;
        if (!hasOnlyEventLines(*event)) {
            faulty = FaultyPart { StreamFault::UnknownLine, *event };
            break;
        }
        auto kind = m_tokens.observe(*event);
        if (kind == TokenCounter::EventKind::Invalid) {
            faulty = FaultyPart { StreamFault::InvalidData, *event };
            break;
        }
        tokens += kind == TokenCounter::EventKind::Token;
        m_sawToken = m_sawToken || kind == TokenCounter::EventKind::Token;
        done = kind == TokenCounter::EventKind::Done;
        // A resumed stream may begin with a role event again, which the caller has already.
        if (m_started && m_tokens.isResumed() && !m_sawToken && TokenCounter::isPreamble(*event)) {
            continue;
        }
        m_tail += *event;
    }
    if (!faulty && m_events.overflowed()) {
        faulty = FaultyPart { StreamFault::TooLarge, {} };
    }
    if (done && !faulty) {
        // The end marker stays back until the answer is finished.
        m_observer.noteReceived(tokens);
        co_return AnswerCompleted {};
    }
    co_return co_await passOnEvents(tokens, faulty);
}

asio::awaitable<std::optional<RequestEvent>> AnswerRelay::relayNumberedPart(std::string_view part)
{
    m_numberedEvents.append(part);
    m_tail.clear();
    int tokens = 0;
    std::optional<FaultyPart> faulty;
    while (auto item = faulty ? std::nullopt : m_numberedEvents.next()) {
        std::visit(Overload {
                       [&](const NumberedEvent& event) {
                           m_tokens.countEvent();
                           ++tokens;
                           m_tail += event.text;
                       },
                       [&](const FaultyPart& it) { faulty = it; },
                   },
            *item);
    }
    co_return co_await passOnEvents(tokens, faulty);
}

asio::awaitable<std::optional<RequestEvent>> AnswerRelay::passOnEvents(
    int tokens, const std::optional<FaultyPart>& faulty)
{
    if (faulty) {
        m_observer.noteStreamFault(faulty->fault, faulty->text);
    }
    // The events before a fault are those of the run.
    if (!m_tail.empty()) {
        m_observer.noteReceived(tokens);
        auto ec = co_await startAnswer(0);
        if (!ec) {
            ec = co_await writeParts(m_tail);
        }
        m_tail.clear();
        if (ec) {
            co_return callerLost(ec);
        }
    }
    if (faulty) {
        co_return AttemptFailed { AttemptFailure::Protocol };
    }
    co_return std::nullopt;
}

std::string AnswerRelay::lastEventId() const
{
    auto id = m_numberedEvents.lastId();
    return id ? std::to_string(*id) : std::string();
}

asio::awaitable<error_code> AnswerRelay::finish()
{
    if (m_bodyless) {
        auto length = m_bodylessLength.value_or(0);
        co_return co_await m_exchange.startSized(m_status, m_contentType, length, m_headers);
    }
    if (m_mode == Mode::Whole) {
        co_return co_await m_exchange.respond(m_status, m_contentType, std::move(m_tail), m_headers);
    }
    if (auto ec = co_await startAnswer(m_tail.size())) {
        co_return ec;
    }
    if (!m_tail.empty()) {
        if (auto ec = co_await writeParts(m_tail)) {
            co_return ec;
        }
    }
    if (m_mode == Mode::Sized) {
        co_return error_code();
    }
    co_return co_await m_exchange.finishStream();
}

asio::awaitable<void> AnswerRelay::cut(CallerError code, RunStatus run)
{
    m_exchange.closeAfter();
    if (m_mode == Mode::Events && !m_exchange.broken()) {
        auto event = fmt::format("event: error\ndata: {}\n\n", formatErrorBody(code, run));
        co_await m_exchange.writeChunk(event);
    }
}

} // namespace lagoonspoke
