#include "http/CallerWatch.h"

#include <sys/socket.h>

#include <cerrno>

namespace lagoonspoke {

struct CallerWatch::State {
    std::function<void()> left;
    asio::cancellation_signal cancel;
};

bool isQuiet(tcp::socket& socket)
{
    char byte = 0;
    auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

CallerWatch::CallerWatch(tcp::socket& socket, std::function<void()> left)
    : m_state(std::make_shared<State>())
{
    m_state->left = std::move(left);
    wait(socket, m_state);
}

void CallerWatch::wait(tcp::socket& socket, std::shared_ptr<State> state)
{
    auto slot = state->cancel.slot();
    auto handler = [state = std::move(state), &socket](error_code ec) {
        if (ec || !state->left) {
            return;
        }
        char byte = 0;
        auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            // The event was for bytes that have been read since.
            wait(socket, state);
        } else if (n <= 0) {
            state->left();
        }
    };
    socket.async_wait(tcp::socket::wait_read, asio::bind_cancellation_slot(slot, std::move(handler)));
}

CallerWatch::~CallerWatch()
{
    m_state->left = nullptr;
    m_state->cancel.emit(asio::cancellation_type::total);
}

} // namespace lagoonspoke
