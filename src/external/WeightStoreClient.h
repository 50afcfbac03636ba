#pragma once

#include "http/HttpClient.h"
#include "lagoonspoke/core/Ids.h"
#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// Adapter for the platform's weight store. Copyable; holds no connection.
class WeightStoreClient {
public:
    WeightStoreClient(tcp::endpoint, Duration bound);

    // Asks for one set of weights, of which only the size is used. Errors: Unavailable (over the store's rate, or not
    // reached), NotFound, TimedOut, ProtocolViolation.
    asio::awaitable<Outcome<std::size_t>> fetch(TargetName model, std::string version) const;

private:
    tcp::endpoint m_endpoint;
    Duration m_bound;
};

} // namespace lagoonspoke
