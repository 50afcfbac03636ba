#pragma once

#include <string>
#include <vector>

#include "http/HttpClient.h"
#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// What a caller has seen of one request so far.
struct CallResult {
    bool done = false;
    int status = 0; // 0 until a response head arrived
    // The whole response arrived: its framing ended and, for a stream, "[DONE]" was seen.
    bool complete = false;
    std::int64_t tokens = 0;
    // Tokens arrived as "t0 t1 t2 ..." without a gap or a repeat.
    bool inOrder = true;
    std::string code; // of an error object
    std::string run; // of the x-lagoonspoke-run header
    std::string body; // of a response that is not a stream
    std::string failure; // of the connection
    Duration firstToken {};
    Duration total {};
    Duration longestGap {};
    Duration gapSum {};
};

// A connection that a caller keeps for one call after the other. Owned by that caller.
struct KeptConnection {
    explicit KeptConnection(const asio::any_io_executor& executor)
        : stream(executor)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool open = false; // another call can be made on it
};

// One request as a caller makes it, on a connection of its own or on one that is kept, which must outlive the call.
// Owned by whoever awaits run().
class StreamingCall {
public:
    StreamingCall(tcp::endpoint, HttpCall, Duration bound, KeptConnection* = nullptr);

    asio::awaitable<void> run();
    const CallResult& result() const { return m_result; }
    // Closes the connection, as a caller does that leaves.
    void leave();

private:
    asio::awaitable<std::string> exchange();
    asio::awaitable<std::string> exchangeOn(KeptConnection&);
    asio::awaitable<std::string> readAnswer(KeptConnection&);
    void readEvents(std::string_view part);
    void readEvent(std::string_view data);
    void readWhole();
    void addText(std::string_view text);
    void noteToken();

    tcp::endpoint m_endpoint;
    HttpCall m_call;
    Duration m_bound;
    KeptConnection* m_kept;
    CallResult m_result;
    beast::tcp_stream* m_stream = nullptr;
    MonotonicTime m_start;
    MonotonicTime m_lastToken;
    std::string m_pending; // of an event that has not fully arrived
    bool m_streamed = false;
    bool m_sawEnd = false;
};

} // namespace lagoonspoke
