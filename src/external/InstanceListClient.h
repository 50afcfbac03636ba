#pragma once

#include <vector>

#include "http/HttpClient.h"
#include "lagoonspoke/core/Time.h"
#include "lagoonspoke/dispatch/BackendServer.h"
#include "lagoonspoke/membership/Member.h"

namespace lagoonspoke {

// What the platform says of its instances, some time ago. Members have no incarnation.
struct InstanceList {
    std::vector<Member> instances;
    std::vector<BackendServer> servers;
};

Outcome<InstanceList> parseInstanceList(std::string_view text);

// Adapter for the platform's instance list. Copyable; holds no connection.
class InstanceListClient {
public:
    InstanceListClient(tcp::endpoint, Duration bound);

    // Errors: Unavailable, TimedOut, ProtocolViolation.
    asio::awaitable<Outcome<InstanceList>> fetch() const;

private:
    tcp::endpoint m_endpoint;
    Duration m_bound;
};

} // namespace lagoonspoke
