#pragma once

#include <string>
#include <utility>

#include "http/Asio.h"
#include "wire/FrameDecoder.h"

namespace lagoonspoke {

// Reads what a backend server sent through a tunnel. Owned by the BackendConnection that the tunnel carries.
class TunnelReader {
public:
    // The next frame's payload; empty at the server's end of the connection. An end of the tunnel itself is an error.
    asio::awaitable<std::pair<error_code, std::string>> readFrame(beast::tcp_stream&);
    // Like async_read_some on a connection to the server itself.
    asio::awaitable<std::pair<error_code, std::size_t>> readSome(beast::tcp_stream&, asio::mutable_buffer);
    // Whether bytes arrived that were not read yet.
    bool hasUnread() const { return !m_unread.empty() || !m_decoder.empty(); }

private:
    FrameDecoder m_decoder;
    std::string m_unread; // of the latest frame
};

} // namespace lagoonspoke
