#include "config/ConfigurationHead.h"

#include <limits>

#include <fmt/format.h>

#include "config/CanonicalJson.h"
#include "config/Shards.h"
#include "settings/JsonReader.h"

namespace lagoonspoke {

namespace json = boost::json;

std::string ticketKey(std::uint64_t number)
{
    return fmt::format("{}{}", ticketPrefix, number);
}

std::string blobKey(const ContentDigest& digest)
{
    return fmt::format("config/blob/{}", digest.value());
}

ConfigurationHead makeInitialHead()
{
    ConfigurationHead head;
    head.shards.fill(digestContent(emptyShardText()));
    return head;
}

std::string writeHead(const ConfigurationHead& head)
{
    json::array shards;
    for (const auto& digest : head.shards) {
        shards.emplace_back(digest.value());
    }
    return serialiseCanonically(json::object { { "number", head.number }, { "shards", std::move(shards) },
        { "ticket", head.ticketDigest.value() }, { "ticket_number", head.ticketNumber } });
}

Outcome<ConfigurationHead> readHead(std::string_view text)
{
    std::vector<Error> errors;
    auto value = parseJson(text);
    if (!value) {
        return makeError(ErrorCode::ProtocolViolation, "the head is no JSON: " + value.error().message);
    }
    JsonReader reader(*value, "", errors);
    constexpr auto most = std::numeric_limits<std::int64_t>::max();
    ConfigurationHead head;
    head.number = static_cast<std::uint64_t>(reader.readInteger("number", 0, most));
    head.ticketNumber = static_cast<std::uint64_t>(reader.readInteger("ticket_number", 0, most));
    head.ticketDigest = ContentDigest(reader.readString("ticket"));
    auto shards = reader.readStrings("shards");
    reader.rejectUnknownFields();
    if (errors.empty() && shards.size() != shardCount) {
        reader.report("shards", fmt::format("must have {} digests", shardCount));
    }
    if (head.ticketNumber != head.number) {
        reader.report("ticket_number", "must equal number");
    }
    if (!errors.empty()) {
        return makeError(ErrorCode::ProtocolViolation, "the head is invalid: " + formatErrors(errors));
    }
    for (std::size_t i = 0; i < shardCount; ++i) {
        head.shards[i] = ContentDigest(std::move(shards[i]));
    }
    return head;
}

} // namespace lagoonspoke
