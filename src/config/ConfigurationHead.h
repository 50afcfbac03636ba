#pragma once

#include <array>
#include <string>
#include <string_view>

#include "lagoonspoke/core/Digest.h"
#include "lagoonspoke/core/Error.h"

namespace lagoonspoke {

inline constexpr std::size_t shardCount = 64;

// The accepted configuration, as stored under "config/head".
struct ConfigurationHead {
    // Number of the accepted ticket; 0 before the first.
    std::uint64_t number = 0;
    std::array<ContentDigest, shardCount> shards;
    // Empty before the first ticket.
    ContentDigest ticketDigest;
    std::uint64_t ticketNumber = 0;

    bool operator==(const ConfigurationHead&) const = default;
};

inline constexpr std::string_view headKey = "config/head";
inline constexpr std::string_view ticketPrefix = "config/ticket/";
std::string ticketKey(std::uint64_t number);
std::string blobKey(const ContentDigest&);

// The head before the first ticket: every shard is empty.
ConfigurationHead makeInitialHead();
std::string writeHead(const ConfigurationHead&);
// Errors: ProtocolViolation for anything that writeHead() does not write.
Outcome<ConfigurationHead> readHead(std::string_view text);

} // namespace lagoonspoke
