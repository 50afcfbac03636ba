#pragma once

#include <functional>
#include <memory>

#include "http/Asio.h"

namespace lagoonspoke {

// Notices that the other side of a connection closed it while nothing is read from it.
// A caller that has sent more bytes, such as a pipelined request, is no longer watched; a failing write shows later
// that it left. Owned by the coroutine that runs the request.
class CallerWatch {
public:
    CallerWatch(tcp::socket&, std::function<void()> left);
    ~CallerWatch();
    CallerWatch(const CallerWatch&) = delete;
    CallerWatch& operator=(const CallerWatch&) = delete;

private:
    struct State;

    static void wait(tcp::socket&, std::shared_ptr<State>);

    std::shared_ptr<State> m_state;
};

// Whether an idle connection is still open and has received nothing.
bool isQuiet(tcp::socket&);

} // namespace lagoonspoke
