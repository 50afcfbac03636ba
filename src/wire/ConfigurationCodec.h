#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "lagoonspoke/core/Error.h"
#include "lagoonspoke/core/Ids.h"

namespace lagoonspoke {

// Messages of PeerChannel::Configuration. A HeadNotice is also the payload of the rumour "config/head".
struct HeadNotice {
    std::uint64_t number = 0; // 0 without a configuration
    ContentDigest digest;
    bool replyWanted = false;
};
struct BlobRequest {
    std::vector<ContentDigest> digests;
};
struct BlobReply {
    ContentDigest digest;
    std::optional<std::string> content; // nothing: not available yet
};

using ConfigurationMessage = std::variant<HeadNotice, BlobRequest, BlobReply>;

std::string encodeConfigurationMessage(const ConfigurationMessage&);
// Errors: ProtocolViolation.
Outcome<ConfigurationMessage> decodeConfigurationMessage(std::string_view payload);

} // namespace lagoonspoke
