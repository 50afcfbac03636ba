#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <boost/json/fwd.hpp>

#include "lagoonspoke/core/Ids.h"
#include "lagoonspoke/core/Units.h"

namespace lagoonspoke {

// The prompt of a completion request as one text: "prompt", or the role and content of each message in order.
std::string promptText(const boost::json::object& request);

// Estimate by the common ratio of four bytes to a token.
inline Tokens estimateTokens(std::size_t bytes)
{
    return Tokens { static_cast<std::int64_t>(bytes / 4) };
}

// Hashes of the prompt's whole blocks of 256 bytes, each chained with the block before it. The number is bounded, as
// it travels with each placement request.
std::vector<PrefixBlock> hashPrefix(std::string_view prompt);

// Identifies requests with the same team, route and body.
Fingerprint fingerprintOf(const TeamId&, std::string_view target, std::string_view body);

} // namespace lagoonspoke
