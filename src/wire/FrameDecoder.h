#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "lagoonspoke/core/Error.h"
#include "lagoonspoke/core/Ids.h"

namespace lagoonspoke {

inline constexpr std::size_t maxFrameBytes = 1 << 20;
inline constexpr std::uint32_t protocolVersion = 1;

// Each end of a link sends this first.
struct HelloFrame {
    InstanceId instance;
    std::uint64_t incarnation = 0;
    DataCentreId dataCentre;
    RegionId region;
    std::string peerAddress; // IP:port
    std::uint32_t version = protocolVersion;
    std::uint16_t capacity = 100; // hundredths of a core

    bool operator==(const HelloFrame&) const = default;
};

// Shows that the link works; a frame of length zero, as an instance may have several hundred links.
struct HeartbeatFrame {
    bool operator==(const HeartbeatFrame&) const = default;
};

struct PayloadFrame {
    std::uint8_t channel = 0; // PeerChannel
    std::string payload;

    bool operator==(const PayloadFrame&) const = default;
};

using Frame = std::variant<HelloFrame, HeartbeatFrame, PayloadFrame>;

// The frame with its length in front. Errors: TooLarge.
Outcome<std::string> encodeFrame(const Frame&);

// Splits the byte stream of one link into frames. Owned by the link's reader.
class FrameDecoder {
public:
    // Frames above the limit, in bytes, end the stream as TooLarge.
    explicit FrameDecoder(std::size_t mostBytes = maxFrameBytes)
        : m_mostBytes(mostBytes)
    {
    }

    // Takes bytes in any portions.
    void append(std::string_view bytes) { m_buffer.append(bytes); }
    // The next whole frame, or nothing until more bytes arrive. After an error (TooLarge, ProtocolViolation) the
    // stream cannot be read further.
    Outcome<std::optional<Frame>> next();
    // Whether every byte belonged to a frame that was taken.
    bool empty() const { return m_position == m_buffer.size(); }

private:
    std::size_t m_mostBytes;
    std::string m_buffer;
    std::size_t m_position = 0; // start of the first frame not yet taken
};

} // namespace lagoonspoke
