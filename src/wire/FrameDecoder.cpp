#include "wire/FrameDecoder.h"

#include <fmt/format.h>

#include "lagoonspoke/core/Overload.h"
#include "wire/FlatBufferAccess.h"
#include "wire/envelope_generated.h"

namespace lagoonspoke {

using detail::toText;
using detail::writeBytes;
using detail::writeText;

namespace {

constexpr std::size_t lengthBytes = 4;
// Taken frames are removed from the buffer once they fill this much of it, so that removal is seldom.
constexpr std::size_t compactBytes = 64 * 1024;

std::string encodeLength(std::size_t n)
{
    std::string bytes;
    for (std::size_t i = 0; i < lengthBytes; ++i) {
        bytes += static_cast<char>((n >> (8 * i)) & 0xff);
    }
    return bytes;
}

std::size_t decodeLength(std::string_view bytes)
{
    std::size_t n = 0;
    for (std::size_t i = 0; i < lengthBytes; ++i) {
        n |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    }
    return n;
}

Outcome<std::optional<Frame>> decodeEnvelope(std::string_view bytes)
{
    // A copy of its own gives the alignment that the table's fields need.
    const std::string aligned(bytes);
    const auto* envelope = detail::verifyRoot<wire::Envelope>(aligned);
    if (!envelope) {
        return makeError(ErrorCode::ProtocolViolation, "a frame holds no valid envelope");
    }
    if (const auto* hello = envelope->hello()) {
        return std::optional<Frame>(HelloFrame { InstanceId(toText(hello->instance())), hello->incarnation(),
            DataCentreId(toText(hello->data_centre())), RegionId(toText(hello->region())),
            toText(hello->peer_address()), hello->protocol_version(), hello->capacity() });
    }
    return std::optional<Frame>(PayloadFrame { envelope->channel(), toText(envelope->payload()) });
}

} // namespace

Outcome<std::string> encodeFrame(const Frame& frame)
{
    if (std::holds_alternative<HeartbeatFrame>(frame)) {
        return encodeLength(0);
    }
    flatbuffers::FlatBufferBuilder builder;
    if (const auto* hello = std::get_if<HelloFrame>(&frame)) {
        auto instance = writeText(builder, hello->instance.value());
        auto dataCentre = writeText(builder, hello->dataCentre.value());
        auto region = writeText(builder, hello->region.value());
        auto address = writeText(builder, hello->peerAddress);
        auto table = wire::CreateHello(
            builder, instance, hello->incarnation, dataCentre, region, address, hello->version, hello->capacity);
        builder.Finish(wire::CreateEnvelope(builder, table));
    } else {
        const auto& payload = std::get<PayloadFrame>(frame);
        if (payload.payload.size() > maxFrameBytes) {
            return makeError(ErrorCode::TooLarge, fmt::format("a payload has {} bytes", payload.payload.size()));
        }
        auto bytes = writeBytes(builder, payload.payload);
        builder.Finish(wire::CreateEnvelope(builder, 0, payload.channel, bytes));
    }
    if (builder.GetSize() > maxFrameBytes) {
        return makeError(ErrorCode::TooLarge, fmt::format("a frame has {} bytes", builder.GetSize()));
    }
    return encodeLength(builder.GetSize()) + detail::finishBuffer(builder);
}

Outcome<std::optional<Frame>> FrameDecoder::next()
{
    auto rest = std::string_view(m_buffer).substr(m_position);
    if (rest.size() < lengthBytes) {
        return std::optional<Frame>();
    }
    auto n = decodeLength(rest);
    if (n > m_mostBytes) {
        return makeError(ErrorCode::TooLarge, fmt::format("a frame announces {} bytes", n));
    }
    if (rest.size() < lengthBytes + n) {
        return std::optional<Frame>();
    }
    auto frame = n == 0 ? Outcome<std::optional<Frame>>(Frame(HeartbeatFrame {}))
                        : decodeEnvelope(rest.substr(lengthBytes, n));
    m_position += lengthBytes + n;
    if (m_position >= compactBytes || m_position == m_buffer.size()) {
        m_buffer.erase(0, m_position);
        m_position = 0;
    }
    return frame;
}

} // namespace lagoonspoke
