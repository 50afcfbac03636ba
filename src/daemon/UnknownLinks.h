#pragma once

#include <memory>

#include <boost/intrusive/list.hpp>

#include "http/Asio.h"

namespace lagoonspoke {

// Accepted connections that have not said which peer they come from, or what they are for. Owned by the PeerService;
// its entries may outlive it.
class UnknownLinks {
    struct State;

public:
    // One connection. Owned by the coroutine that reads its first frame.
    class Entry : public boost::intrusive::list_base_hook<> {
    public:
        Entry(UnknownLinks&, std::shared_ptr<tcp::socket>);
        ~Entry();
        Entry(const Entry&) = delete;
        Entry& operator=(const Entry&) = delete;

    private:
        friend class UnknownLinks;

        std::shared_ptr<State> m_state;
        std::shared_ptr<tcp::socket> m_socket;
    };

    UnknownLinks();

    std::size_t size() const;
    // Closes the oldest connections that are too many; false if there are none. New ones are not refused instead, as
    // peers send their first frame at once.
    bool closeOldestAbove(std::size_t most);

private:
    std::shared_ptr<State> m_state;
};

} // namespace lagoonspoke
