#pragma once

#include <string>
#include <string_view>

#include "lagoonspoke/core/Ids.h"

namespace lagoonspoke {

// Lower-case hexadecimal SHA-256 of the data.
std::string sha256Hex(std::string_view data);

KeyDigest digestKey(std::string_view key);
ContentDigest digestContent(std::string_view content);

// A 64-bit non-cryptographic hash that is equal on every instance and build.
std::uint64_t stableHash(std::string_view data, std::uint64_t seed = 0);

} // namespace lagoonspoke
