#include "entry/Prompt.h"

#include <boost/json.hpp>

#include "lagoonspoke/core/Digest.h"

namespace lagoonspoke {

namespace json = boost::json;

namespace {

constexpr std::size_t blockBytes = 256;
constexpr std::size_t maxBlocks = 128;

void appendText(std::string& out, const json::value* value)
{
    if (value && value->is_string()) {
        out += std::string_view(value->get_string());
    } else if (value) {
        out += json::serialize(*value);
    }
}

} // namespace

std::string promptText(const json::object& request)
{
    std::string text;
    if (const auto* messages = request.if_contains("messages"); messages && messages->is_array()) {
        for (const auto& message : messages->get_array()) {
            if (const auto* object = message.if_object()) {
                appendText(text, object->if_contains("role"));
                text += '\n';
                appendText(text, object->if_contains("content"));
                text += '\n';
            }
        }
        return text;
    }
    appendText(text, request.if_contains("prompt"));
    return text;
}

std::vector<PrefixBlock> hashPrefix(std::string_view prompt)
{
    std::vector<PrefixBlock> blocks;
    std::uint64_t chain = 0;
    while (prompt.size() >= blockBytes && blocks.size() < maxBlocks) {
        chain = stableHash(prompt.substr(0, blockBytes), chain);
        blocks.push_back(PrefixBlock { chain });
        prompt.remove_prefix(blockBytes);
    }
    return blocks;
}

Fingerprint fingerprintOf(const TeamId& team, std::string_view target, std::string_view body)
{
    return Fingerprint { stableHash(body, stableHash(target, stableHash(team.value()))) };
}

} // namespace lagoonspoke
