#include "daemon/UnknownLinks.h"

namespace lagoonspoke {

struct UnknownLinks::State {
    boost::intrusive::list<Entry> entries; // the oldest one in front
};

UnknownLinks::Entry::Entry(UnknownLinks& links, std::shared_ptr<tcp::socket> socket)
    : m_state(links.m_state)
    , m_socket(std::move(socket))
{
    m_state->entries.push_back(*this);
}

UnknownLinks::Entry::~Entry()
{
    if (is_linked()) {
        m_state->entries.erase(m_state->entries.iterator_to(*this));
    }
}

UnknownLinks::UnknownLinks()
    : m_state(std::make_shared<State>())
{
}

std::size_t UnknownLinks::size() const
{
    return m_state->entries.size();
}

bool UnknownLinks::closeOldestAbove(std::size_t most)
{
    bool closed = false;
    while (m_state->entries.size() > most) {
        error_code ec;
        m_state->entries.front().m_socket->close(ec);
        m_state->entries.pop_front();
        closed = true;
    }
    return closed;
}

} // namespace lagoonspoke
