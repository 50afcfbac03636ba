#pragma once

#include <string>

#include "entry/BackendConnection.h"
#include "entry/HeldBytes.h"
#include "entry/RequestAdmission.h"
#include "entry/RequestMachine.h"
#include "entry/TokenCounter.h"
#include "http/NumberedEventReader.h"
#include "http/SseReader.h"
#include "settings/DaemonSettings.h"

namespace lagoonspoke {

// What the coroutine of a request waits for, and so what an interruption has to cancel.
enum class Wait {
    Nothing,
    Grant,
    Backend,
    Caller,
    ServerCheck, // whether a server goes on whose connection has ended
};

// Learns of the progress of an answer. Implemented by the request's runner.
class AnswerObserver {
public:
    virtual ~AnswerObserver() = default;
    virtual void noteReceived(int tokens) = 0;
    virtual void noteCallerReached() = 0;
    // Bytes of a stream are no event of it.
    virtual void noteStreamFault(StreamFault, std::string_view bytes) = 0;
    virtual void setWait(Wait) = 0;
    virtual bool isInterrupted() const = 0;
};

// Carries the answer of a backend server to the caller, over all attempts of one request. The last bytes are held
// back until finish(), so that nothing looks complete before it is. Owned by the request's runner.
class AnswerRelay {
public:
    AnswerRelay(HttpExchange&, const DaemonSettings&, HeldBytes&, AnswerObserver&);

    // The headers for the caller, of the answer that relay() is called for next. Those of the first attempt stay.
    void setHeaders(HeaderList);
    // Relays the answer whose head the connection has read. Gives AnswerCompleted, AttemptFailed or Stopped.
    asio::awaitable<RequestEvent> relay(BackendConnection&, const AdmittedRequest&);
    // Sends what was held back.
    asio::awaitable<error_code> finish();
    // Ends a started answer as truncated, with an error event on a stream of events.
    asio::awaitable<void> cut(CallerError, RunStatus);

    // Whether nothing but the end of the connection told that the answer, which relay() found complete, is whole.
    bool endedWithConnection(const BackendConnection&) const;

    const TokenCounter& tokens() const { return m_tokens; }
    // Of the last event of a numbered stream that went to the caller; empty before the first.
    std::string lastEventId() const;
    // Whether bytes followed the end of the answer.
    bool hasExtraBytes() const { return m_events.hasPartialEvent(); }
    unsigned status() const { return static_cast<unsigned>(m_status); }

private:
    enum class Mode {
        Whole, // sent at once, with its length
        Events, // server-sent events of a model engine, resumable
        NumberedEvents, // the same with an id on each event; the end of the answer is the end of the stream
        Sized, // passed on in parts, with its length
        Chunked, // passed on in parts
    };

    void readHead(const BackendConnection&);
    // Holds the answer back until it is whole. An answer that is too large to be held is passed on in parts, but for
    // that of a completion, whose tokens are counted in the whole body.
    asio::awaitable<RequestEvent> relayWhole(BackendConnection&, bool completion);
    bool mayHold(std::size_t bytes, bool hasLength, bool completion) const;
    asio::awaitable<RequestEvent> relayParts(BackendConnection&, std::string held);
    asio::awaitable<RequestEvent> relayEvents(BackendConnection&);
    // What the end of a stream means; hasEvents tells whether this attempt brought any.
    RequestEvent endOfEvents(const BackendConnection&, bool hasEvents) const;
    // Whole events of all attempts, with repeated ones.
    std::uint64_t eventCount() const;
    // Move the whole events of a part to the caller; nothing while the stream goes on.
    asio::awaitable<std::optional<RequestEvent>> relayPart(std::string_view part);
    asio::awaitable<std::optional<RequestEvent>> relayNumberedPart(std::string_view part);
    // Passes on the events that were collected; a fault behind them ends the attempt.
    asio::awaitable<std::optional<RequestEvent>> passOnEvents(int tokens, const std::optional<FaultyPart>&);
    asio::awaitable<error_code> readPart(BackendConnection&, std::string& part, Duration bound);
    asio::awaitable<error_code> writeParts(std::string_view data);
    asio::awaitable<error_code> startAnswer(std::uint64_t length);

    HttpExchange& m_exchange;
    const DaemonSettings& m_settings;
    HeldBytes& m_held;
    HeldBytes::Share m_share;
    AnswerObserver& m_observer;
    TokenCounter m_tokens;
    SseReader m_events;
    std::uint64_t m_eventCount = 0; // whole events of all attempts
    NumberedEventReader m_numberedEvents;
    MonotonicTime m_lastEventAt {}; // in the current attempt, or its start
    Duration m_mostPause {}; // between two events of the current attempt
    Mode m_mode = Mode::Whole;
    http::status m_status = http::status::ok;
    std::string m_contentType;
    HeaderList m_headers;
    std::optional<std::uint64_t> m_bodylessLength; // of an answer without a body, such as to HEAD
    bool m_bodyless = false;
    bool m_started = false;
    bool m_sawToken = false; // in the current attempt
    std::string m_tail;
};

// The cause of a failed read or write on a backend connection.
AttemptFailure failureOf(error_code);

} // namespace lagoonspoke
