#pragma once

#include <string>
#include <string_view>

#include "http/Asio.h"
#include "lagoonspoke/core/Error.h"

namespace lagoonspoke {

// Parses "IP:port". Host names are not accepted: processes reach each other by IP address.
Outcome<tcp::endpoint> parseEndpoint(std::string_view text);
std::string formatEndpoint(const tcp::endpoint&);

} // namespace lagoonspoke
