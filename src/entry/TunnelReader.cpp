#include "entry/TunnelReader.h"

#include <array>

#include "wire/Tunnel.h"

namespace lagoonspoke {

namespace {

using FrameRead = std::pair<error_code, std::string>;
using SomeRead = std::pair<error_code, std::size_t>;

} // namespace

asio::awaitable<FrameRead> TunnelReader::readFrame(beast::tcp_stream& stream)
{
    while (true) {
        auto frame = m_decoder.next();
        const auto* payload = frame && *frame ? tunnelPayload(**frame) : nullptr;
        if (!frame || (*frame && !payload)) {
            co_return FrameRead(asio::error::make_error_code(asio::error::connection_aborted), {});
        }
        if (payload) {
            co_return FrameRead(error_code(), *payload);
        }
        std::array<char, 4096> buf;
        auto [ec, n] = co_await stream.async_read_some(asio::buffer(buf), useTuple);
        if (ec) {
            bool ended = ec == asio::error::eof;
            co_return FrameRead(ended ? asio::error::make_error_code(asio::error::connection_reset) : ec, {});
        }
        m_decoder.append({ buf.data(), n });
    }
}

asio::awaitable<SomeRead> TunnelReader::readSome(beast::tcp_stream& stream, asio::mutable_buffer space)
{
    if (m_unread.empty()) {
        auto [ec, payload] = co_await readFrame(stream);
        if (ec || payload.empty()) {
            co_return SomeRead(ec ? ec : asio::error::make_error_code(asio::error::eof), 0);
        }
        m_unread = std::move(payload);
    }
    auto n = asio::buffer_copy(space, asio::buffer(m_unread));
    m_unread.erase(0, n);
    co_return SomeRead(error_code(), n);
}

} // namespace lagoonspoke
