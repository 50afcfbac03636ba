#include "lagoonspoke/core/Digest.h"

#include <array>

#include <absl/strings/escaping.h>
#include <openssl/evp.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace lagoonspoke {

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> buf;
    unsigned int n = 0;
    EVP_Digest(data.data(), data.size(), buf.data(), &n, EVP_sha256(), nullptr);
    return absl::BytesToHexString({ reinterpret_cast<const char*>(buf.data()), n });
}

KeyDigest digestKey(std::string_view key)
{
    return KeyDigest(sha256Hex(key));
}

ContentDigest digestContent(std::string_view content)
{
    return ContentDigest(sha256Hex(content));
}

std::uint64_t stableHash(std::string_view data, std::uint64_t seed)
{
    return XXH64(data.data(), data.size(), seed);
}

} // namespace lagoonspoke
