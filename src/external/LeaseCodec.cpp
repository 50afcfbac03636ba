#include "external/LeaseCodec.h"

#include <boost/json.hpp>

#include "settings/JsonReader.h"

namespace lagoonspoke {

std::string encodeLease(const LeaseRecord& record)
{
    return boost::json::serialize(boost::json::object {
        { "holder", record.holder },
        { "epoch", record.epoch },
        { "renewal", record.renewal },
        { "released", record.released },
    });
}

Outcome<LeaseRecord> decodeLease(std::string_view text)
{
    auto value = parseJson(text);
    if (!value) {
        return makeError(ErrorCode::ProtocolViolation, value.error().message);
    }
    std::vector<Error> errors;
    JsonReader reader(*value, "", errors);
    constexpr auto most = std::numeric_limits<std::int64_t>::max();
    LeaseRecord record;
    record.holder = reader.readString("holder");
    record.epoch = static_cast<std::uint64_t>(reader.readInteger("epoch", 0, most));
    record.renewal = static_cast<std::uint64_t>(reader.readInteger("renewal", 0, most));
    record.released = reader.readBool("released", false);
    if (!errors.empty()) {
        return makeError(ErrorCode::ProtocolViolation, formatErrors(errors));
    }
    return record;
}

} // namespace lagoonspoke
