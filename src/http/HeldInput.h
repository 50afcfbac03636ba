#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include <boost/intrusive/list.hpp>

#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// Counts the memory that callers' present requests take, over all connections of a server, so that many requests that
// are each inside the limits do not take the process's memory. Requests whose callers stopped sending give way first,
// then the latest ones, so that those before them complete. Owned by an HttpServer; its shares may outlive it.
class HeldInput {
public:
    struct Limits {
        std::size_t mostBytes = 32 << 20;
        // A request that is being read has stalled when less than 1 KiB of it arrived in this time.
        Duration stallBound = std::chrono::seconds(1);
    };
    class Share;

    explicit HeldInput(Limits);

    std::size_t total() const;
    // Ends the reading of the request that has stalled for longest; false if there is none.
    bool evictStalled(MonotonicTime now);
    // Time until a request that is being read can have stalled, and so until there may be room; zero when none is read.
    Duration timeToRoom(MonotonicTime now) const;
    // Resets the peak of the total once at most half of it is left. Returns whether it did, as free memory can then be
    // returned to the system.
    bool resetFallenPeak();

private:
    struct State;

    std::shared_ptr<State> m_state;
};

enum class InputAdmission {
    Admitted,
    Refused, // too much is held, and others came first
    Evicted, // stalled, while others needed its memory or its connection
};

// The memory of one connection's present request. Owned by the connection.
class HeldInput::Share {
public:
    explicit Share(const HeldInput&);
    ~Share();
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    // Begins the reading of a head or a body. The callback ends it; it is called at most once, and not after
    // stopReading().
    void startReading(MonotonicTime now, std::function<void()> end);
    void noteReceived(std::size_t bytes, MonotonicTime now);
    void stopReading();
    // Sets the bytes of the present request. Where that leaves too much, ends the reading of stalled requests, then of
    // those that became large last, which may be this one.
    InputAdmission hold(std::size_t bytes, MonotonicTime now);
    // Forgets the request.
    void release();

    InputAdmission admission() const { return m_admission; }
    // As of the HeldInput.
    Duration timeToRoom(MonotonicTime now) const;

private:
    friend class HeldInput;
    using Hook = boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

    void set(std::size_t bytes);
    void endReading(InputAdmission);

    std::shared_ptr<State> m_state;
    std::size_t m_bytes = 0;
    InputAdmission m_admission = InputAdmission::Admitted;
    std::function<void()> m_end;
    MonotonicTime m_progressTime;
    std::size_t m_sinceProgress = 0;
    Hook m_reading;
    Hook m_large;
};

} // namespace lagoonspoke
