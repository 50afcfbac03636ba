#include "wire/ConfigurationCodec.h"

#include <random>

#include <catch2/catch.hpp>

namespace lagoonspoke {

TEST_CASE("configuration messages are read back as they were written")
{
    auto notice = decodeConfigurationMessage(encodeConfigurationMessage(HeadNotice { 7, ContentDigest("d"), true }));
    REQUIRE(std::get<HeadNotice>(*notice).number == 7);
    REQUIRE(std::get<HeadNotice>(*notice).digest.value() == "d");
    REQUIRE(std::get<HeadNotice>(*notice).replyWanted);

    BlobRequest request;
    request.digests.emplace_back("a");
    request.digests.emplace_back("b");
    auto digests = decodeConfigurationMessage(encodeConfigurationMessage(request));
    REQUIRE(std::get<BlobRequest>(*digests).digests == request.digests);

    for (const std::optional<std::string>& content :
        { std::optional<std::string>(), std::optional(std::string()), std::optional(std::string("a\0b", 3)) }) {
        auto reply = decodeConfigurationMessage(encodeConfigurationMessage(BlobReply { ContentDigest("d"), content }));
        REQUIRE(std::get<BlobReply>(*reply).content == content);
    }
}

// Guards against notices that outgrow the control traffic: 410 instances exchange about 20 of them a second each.
TEST_CASE("a head notice is small")
{
    HeadNotice notice { 1'000'000, ContentDigest(std::string(64, 'a')), true };
    REQUIRE(encodeConfigurationMessage(notice).size() <= 136);
}

// Guards against a read outside the buffer; run with the address sanitizer.
TEST_CASE("damaged configuration messages are refused or read without harm")
{
    std::mt19937_64 random(1);
    const ConfigurationMessage messages[]
        = { HeadNotice { 7, ContentDigest("digest"), true }, BlobReply { ContentDigest("d"), std::string(50, 'x') } };
    for (int i = 0; i < 20'000; ++i) {
        auto payload = encodeConfigurationMessage(messages[i % 2]);
        payload[random() % payload.size()] = static_cast<char>(random());
        payload.resize(random() % 4 ? payload.size() : random() % payload.size());
        (void)decodeConfigurationMessage(payload);
    }
    SUCCEED();
}

} // namespace lagoonspoke
