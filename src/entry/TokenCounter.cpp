#include "entry/TokenCounter.h"

#include <algorithm>

#include <boost/json.hpp>

#include "http/SseReader.h"

namespace lagoonspoke {

namespace json = boost::json;

namespace {

std::optional<std::int64_t> readCount(const json::object& usage, std::string_view field)
{
    const auto* value = usage.if_contains({ field.data(), field.size() });
    if (!value || !value->is_int64() || value->get_int64() < 0) {
        return std::nullopt;
    }
    return value->get_int64();
}

bool hasText(const json::object& object, std::string_view field)
{
    const auto* value = object.if_contains({ field.data(), field.size() });
    return value && value->is_string() && !value->get_string().empty();
}

bool carriesOutput(const json::object& chunk)
{
    const auto* choices = chunk.if_contains("choices");
    if (!choices || !choices->is_array()) {
        return false;
    }
    return std::ranges::any_of(choices->get_array(), [](const json::value& choice) {
        const auto* object = choice.if_object();
        if (!object) {
            return false;
        }
        const auto* delta = object->if_contains("delta");
        const auto* deltaObject = delta ? delta->if_object() : nullptr;
        return hasText(*object, "text")
            || (deltaObject && (hasText(*deltaObject, "content") || deltaObject->contains("tool_calls")));
    });
}

} // namespace

TokenCounter::EventKind TokenCounter::observe(std::string_view sseEvent)
{
    auto data = dataOf(sseEvent);
    if (data == "[DONE]") {
        return EventKind::Done;
    }
    boost::system::error_code ec;
    auto value = json::parse(data, ec);
    if (ec || !value.is_object()) {
        return data.empty() ? EventKind::Other : EventKind::Invalid;
    }
    const auto& chunk = value.get_object();
    bool output = carriesOutput(chunk);
    if (output) {
        m_output += Tokens { 1 };
    }
    if (const auto* usage = chunk.if_contains("usage"); usage && usage->is_object()) {
        observeUsage(usage->get_object());
    }
    return output ? EventKind::Token : EventKind::Other;
}

void TokenCounter::observeBody(std::string_view text)
{
    boost::system::error_code ec;
    auto value = json::parse({ text.data(), text.size() }, ec);
    const auto* object = ec ? nullptr : value.if_object();
    if (const auto* usage = object ? object->if_contains("usage") : nullptr; usage && usage->is_object()) {
        observeUsage(usage->get_object());
    }
}

bool TokenCounter::isPreamble(std::string_view sseEvent)
{
    boost::system::error_code ec;
    auto data = dataOf(sseEvent);
    auto value = json::parse(data, ec);
    const auto* chunk = ec ? nullptr : value.if_object();
    if (!chunk || carriesOutput(*chunk) || chunk->contains("error")) {
        return false;
    }
    if (const auto* usage = chunk->if_contains("usage"); usage && !usage->is_null()) {
        return false;
    }
    const auto* choices = chunk->if_contains("choices");
    return choices && choices->is_array() && std::ranges::none_of(choices->get_array(), [](const json::value& choice) {
        const auto* reason = choice.is_object() ? choice.get_object().if_contains("finish_reason") : nullptr;
        return reason && !reason->is_null();
    });
}

void TokenCounter::startAttempt()
{
    m_resumed = m_output.count > 0;
}

void TokenCounter::observeUsage(const json::object& usage)
{
    if (auto count = readCount(usage, "prompt_tokens")) {
        m_prompt = Tokens { *count };
    }
    // A resumed attempt may count all tokens or only its own, so the own count is kept then.
    if (auto count = readCount(usage, "completion_tokens"); count && !m_resumed) {
        m_output = Tokens { *count };
    }
}

} // namespace lagoonspoke
