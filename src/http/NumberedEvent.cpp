#include "http/NumberedEvent.h"

#include <algorithm>
#include <optional>

#include "http/SseReader.h"
#include "lagoonspoke/core/Text.h"

namespace lagoonspoke {

namespace {

std::optional<std::int64_t> parseId(std::string_view value)
{
    value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
    auto id = parseNumber<std::int64_t>(value);
    return id && *id >= 0 ? id : std::nullopt;
}

} // namespace

std::string_view toString(StreamFault fault)
{
    switch (fault) {
    case StreamFault::UnknownLine:
        return "unknown_line";
    case StreamFault::NoId:
        return "no_id";
    case StreamFault::SeveralIds:
        return "several_ids";
    case StreamFault::InvalidId:
        return "invalid_id";
    case StreamFault::IdNotIncreasing:
        return "id_not_increasing";
    case StreamFault::NoData:
        return "no_data";
    case StreamFault::InvalidData:
        return "invalid_data";
    case StreamFault::TooLarge:
        break;
    }
    return "too_large";
}

StreamPart parseNumberedEvent(std::string_view part)
{
    std::optional<std::int64_t> id;
    bool hasData = false;
    bool hasOther = false;
    for (auto rest = part; !rest.empty();) {
        auto line = detail::takeLine(rest);
        if (line.empty()) {
            continue;
        }
        if (!detail::isEventLine(line)) {
            return StreamFault::UnknownLine;
        }
        if (line.starts_with(':')) {
            continue;
        }
        auto colon = line.find(':');
        auto name = line.substr(0, colon);
        if (name == "id") {
            if (id) {
                return StreamFault::SeveralIds;
            }
            id = parseId(line.substr(colon + 1));
            if (!id) {
                return StreamFault::InvalidId;
            }
        } else if (name == "data") {
            hasData = true;
        } else if (name != "retry") {
            hasOther = true;
        }
    }
    if (!id) {
        return hasData || hasOther ? StreamPart(StreamFault::NoId) : StreamComment {};
    }
    return hasData ? StreamPart(NumberedEvent { *id, part }) : StreamFault::NoData;
}

} // namespace lagoonspoke
