#include "standins/WeightStandin.h"

#include <algorithm>

#include <fmt/format.h>

#include "standins/Query.h"

namespace lagoonspoke {

WeightStandin::WeightStandin(double callsPerSecond)
    : m_rate(callsPerSecond)
    , m_refilled(std::chrono::steady_clock::now())
{
}

bool WeightStandin::takeTurn()
{
    auto now = std::chrono::steady_clock::now();
    auto elapsed = std::chrono::duration<double>(now - m_refilled).count();
    m_refilled = now;
    m_turns = std::min(1.0, m_turns + elapsed * m_rate);
    if (m_turns < 1) {
        return false;
    }
    m_turns -= 1;
    return true;
}

asio::awaitable<void> WeightStandin::handle(HttpExchange& exchange)
{
    auto path = targetPath(exchange.target());
    if (path == "/stats") {
        auto body = fmt::format("{{\"served\":{},\"refused\":{}}}", m_served, m_refused);
        co_await exchange.respond(http::status::ok, "application/json", std::move(body));
    } else if (!path.starts_with("/v1/weights/")) {
        co_await exchange.respond(http::status::not_found, "text/plain", "");
    } else if (!takeTurn()) {
        ++m_refused;
        co_await exchange.respond(http::status::too_many_requests, "text/plain", "");
    } else {
        ++m_served;
        co_await exchange.respond(http::status::ok, "application/octet-stream", "weights");
    }
}

} // namespace lagoonspoke
