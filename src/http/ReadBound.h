#pragma once

#include <memory>

#include "http/Asio.h"

namespace lagoonspoke {

// Cancels the pending operations of a stream when the bound passes. Unlike the timeout of tcp_stream it leaves the
// connection open, so that an error can still be sent. Owned by the coroutine that reads.
class ReadBound {
public:
    ReadBound(beast::tcp_stream& stream, std::chrono::nanoseconds bound)
        : m_state(std::make_shared<State>(stream))
    {
        stream.expires_never();
        schedule(m_state, bound);
    }
    ~ReadBound()
    {
        m_state->stream = nullptr;
        m_state->timer.cancel();
    }
    ReadBound(const ReadBound&) = delete;
    ReadBound& operator=(const ReadBound&) = delete;

    bool expired() const { return m_state->expired; }

private:
    struct State {
        explicit State(beast::tcp_stream& boundStream)
            : stream(&boundStream)
            , timer(boundStream.get_executor())
        {
        }
        beast::tcp_stream* stream;
        asio::steady_timer timer;
        bool expired = false;
    };

    static void schedule(const std::shared_ptr<State>& state, std::chrono::nanoseconds bound)
    {
        state->timer.expires_after(bound);
        state->timer.async_wait([state](error_code ec) {
            if (!ec && state->stream) {
                state->expired = true;
                state->stream->cancel();
                // A composed operation that was between two reads has nothing to cancel and goes on.
                schedule(state, std::chrono::milliseconds(10));
            }
        });
    }

    std::shared_ptr<State> m_state;
};

} // namespace lagoonspoke
