#include "http/Endpoint.h"

#include <netinet/tcp.h>

#include <catch2/catch.hpp>

namespace lagoonspoke {

using namespace std::chrono_literals;

namespace {

int probesOf(std::chrono::milliseconds bound, std::chrono::seconds idle)
{
    asio::io_context io;
    tcp::socket socket(io, tcp::v4());
    setLivenessOptions(socket, bound, idle);
    int count = 0;
    socklen_t n = sizeof(count);
    REQUIRE(::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_KEEPCNT, &count, &n) == 0);
    return count;
}

} // namespace

// Guards against silent connections that live on where the number of probes decides, which is nine by default.
TEST_CASE("keep-alive probes give up by the bound of unacknowledged data")
{
    CHECK(probesOf(2500ms, 1s) == 2);
    CHECK(probesOf(3s, 1s) == 2);
    CHECK(probesOf(5s, 5s) == 1);
    CHECK(probesOf(10s, 2s) == 8);
    CHECK(probesOf(1s, 60s) == 1);
}

} // namespace lagoonspoke
