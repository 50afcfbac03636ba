#include "tools/load/Profile.h"

#include "settings/JsonReader.h"

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

LogNormal readLogNormal(JsonReader& reader, std::string_view field, LogNormal fallback)
{
    if (auto it = reader.readObject(field)) {
        fallback.median = it->readNumber("median", 1, 1e9);
        fallback.sigma = it->readNumber("sigma", 0, 5, 0);
        it->rejectUnknownFields();
    }
    return fallback;
}

std::optional<Burst> readBurst(JsonReader& reader)
{
    auto it = reader.readObject("burst");
    if (!it) {
        return std::nullopt;
    }
    Burst burst;
    burst.start = it->readMilliseconds("start_ms", 0ms, 24h);
    burst.end = it->readMilliseconds("end_ms", 0ms, 24h);
    burst.factor = it->readNumber("factor", 0, 1000);
    it->rejectUnknownFields();
    return burst;
}

StreamLoad readStream(JsonReader& reader)
{
    StreamLoad stream;
    stream.className = reader.readString("class");
    for (auto& it : reader.readObjects("teams")) {
        TeamLoad team;
        team.team = it.readString("team");
        team.key = it.readString("key");
        team.weight = it.readNumber("weight", 0.001, 1e6, 1);
        it.rejectUnknownFields();
        stream.teams.push_back(std::move(team));
    }
    if (stream.teams.empty()) {
        reader.report("teams", "must name at least one team");
    }
    stream.requestsPerSecond = reader.readNumber("requests_per_second", 0.001, 1e6);
    stream.burst = readBurst(reader);
    stream.model = reader.readString("model", "");
    stream.path = reader.readString("path", "");
    stream.method = reader.readString("method", stream.method);
    if (stream.model.empty() == stream.path.empty()) {
        reader.report("model", "give either model or path");
    }
    stream.promptBytes = readLogNormal(reader, "prompt_bytes", stream.promptBytes);
    stream.outputTokens = readLogNormal(reader, "output_tokens", stream.outputTokens);
    stream.sharedPrefixes = static_cast<int>(reader.readInteger("shared_prefixes", 0, 10'000, 0));
    stream.firstTokenTarget = reader.readMilliseconds("first_token_target_ms", 1ms, 1h, stream.firstTokenTarget);
    stream.tokenGapTarget = reader.readMilliseconds("token_gap_target_ms", 1ms, 1h, stream.tokenGapTarget);
    reader.rejectUnknownFields();
    return stream;
}

} // namespace

tl::expected<Profile, std::vector<Error>> parseProfile(std::string_view text)
{
    std::vector<Error> errors;
    Profile profile;
    if (auto value = parseJson(text)) {
        JsonReader reader(*value, "", errors);
        profile.name = reader.readString("name");
        profile.duration = reader.readMilliseconds("duration_ms", 100ms, 24h, profile.duration);
        for (auto& it : reader.readObjects("streams")) {
            profile.streams.push_back(readStream(it));
        }
        if (profile.streams.empty() && errors.empty()) {
            reader.report("streams", "must hold at least one stream");
        }
        reader.rejectUnknownFields();
    } else {
        errors.push_back(value.error());
    }
    if (!errors.empty()) {
        return tl::make_unexpected(errors);
    }
    return profile;
}

} // namespace lagoonspoke
