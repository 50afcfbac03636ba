#pragma once

#include <functional>
#include <list>
#include <string>

#include "http/Asio.h"
#include "lagoonspoke/core/Error.h"
#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// Starts its children in order, stops them in reverse order, and starts a failed child again after a growing pause.
// Owned by the Daemon; used on the control thread only.
class Supervisor {
public:
    struct Child {
        std::string name;
        // A failed start counts as a failure of the child. Called again after each failure.
        std::function<Outcome<void>()> start;
        // Ends when the child has stopped; may be empty.
        std::function<asio::awaitable<void>()> stop;
    };
    struct Options {
        Duration firstBackOff = std::chrono::milliseconds(100);
        Duration longestBackOff = std::chrono::seconds(10);
        Duration healthyAfter = std::chrono::seconds(60); // then the next back-off is the first one again
    };

    Supervisor(asio::io_context&, Options);

    // Call before start().
    void add(Child);
    void start();
    // A running child tells that it cannot go on; it is stopped and started again.
    void reportFailure(const std::string& name, const Error&);
    asio::awaitable<void> stop();

private:
    struct Entry {
        Child child;
        asio::steady_timer timer;
        Duration backOff {};
        MonotonicTime startedAt;
        bool running = false;
        bool restarting = false;
    };

    void startChild(Entry&);
    void restartLater(Entry&, const Error&);
    asio::awaitable<void> restart(Entry&, Duration wait);

    asio::io_context& m_io;
    Options m_options;
    std::list<Entry> m_children;
    bool m_stopping = false;
};

} // namespace lagoonspoke
