#pragma once

#include <string_view>

#include "wire/FrameDecoder.h"

namespace lagoonspoke {

// A tunnel is a connection to a peer address whose first frame, in place of a greeting, is on this channel and names a
// backend server's address. The peer answers with one frame on the channel and then carries the connection to that
// server: towards the server as plain bytes, back in frames, so that the server's end of the connection can be told
// from the peer's: an empty frame.
inline constexpr std::uint8_t tunnelChannel = 7;

// The payload of the peer's answer.
inline constexpr std::string_view tunnelOpen = "open";
inline constexpr std::string_view tunnelServerUnreachable = "unreachable"; // the server takes no connection
inline constexpr std::string_view tunnelUnavailable = "unavailable"; // says nothing of the server

// The payload of a frame on the tunnels' channel; null for any other frame.
inline const std::string* tunnelPayload(const Frame& frame)
{
    const auto* payload = std::get_if<PayloadFrame>(&frame);
    return payload && payload->channel == tunnelChannel ? &payload->payload : nullptr;
}

} // namespace lagoonspoke
