#pragma once

#include "http/HttpServer.h"

namespace lagoonspoke {

// The platform's weight store: GET /v1/weights/MODEL/VERSION gives a few bytes in place of the weights, at most at the
// given rate; more calls get status 429. GET /stats. Owned by the stand-in program; runs on one io_context.
class WeightStandin {
public:
    explicit WeightStandin(double callsPerSecond);

    asio::awaitable<void> handle(HttpExchange&);

private:
    bool takeTurn();

    double m_rate;
    double m_turns = 1;
    std::chrono::steady_clock::time_point m_refilled;
    std::int64_t m_served = 0;
    std::int64_t m_refused = 0;
};

} // namespace lagoonspoke
