#include "settings/JsonReader.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

namespace lagoonspoke {

namespace json = boost::json;

JsonReader::JsonReader(const json::value& value, std::string path, std::vector<Error>& errors)
    : m_path(std::move(path))
    , m_errors(&errors)
{
    m_object = value.if_object();
    if (!m_object) {
        errors.push_back({ ErrorCode::InvalidArgument, "must be an object", m_path.empty() ? "." : m_path });
    }
}

std::string JsonReader::pathOf(std::string_view field) const
{
    if (field.empty()) {
        return m_path;
    }
    return m_path.empty() ? std::string(field) : fmt::format("{}.{}", m_path, field);
}

void JsonReader::report(std::string_view field, std::string message)
{
    m_errors->push_back({ ErrorCode::InvalidArgument, std::move(message), pathOf(field) });
}

bool JsonReader::isReported(std::string_view field) const
{
    return std::ranges::any_of(*m_errors, [path = pathOf(field)](const auto& it) { return it.path == path; });
}

const json::value* JsonReader::find(std::string_view field)
{
    m_known.emplace(field);
    return m_object ? m_object->if_contains(field) : nullptr;
}

const json::value* JsonReader::require(std::string_view field, bool optional)
{
    const auto* value = find(field);
    if (!value && !optional && m_object) {
        report(field, "is missing");
    }
    return value;
}

bool JsonReader::has(std::string_view field) const
{
    return m_object && m_object->contains(field);
}

bool JsonReader::takeNull(std::string_view field)
{
    const auto* value = find(field);
    return value && value->is_null();
}

std::string JsonReader::readString(std::string_view field, std::optional<std::string> fallback)
{
    const auto* value = require(field, fallback.has_value());
    if (value) {
        if (const auto* text = value->if_string()) {
            return std::string(*text);
        }
        report(field, "must be a string");
    }
    return fallback.value_or(std::string());
}

std::int64_t JsonReader::readInteger(
    std::string_view field, std::int64_t least, std::int64_t most, std::optional<std::int64_t> fallback)
{
    if (const auto* value = require(field, fallback.has_value())) {
        boost::system::error_code ec;
        auto number = value->is_number() && !value->is_double() ? value->to_number<std::int64_t>(ec) : 0;
        if (!value->is_number() || value->is_double() || ec) {
            report(field, "must be a whole number");
        } else if (number < least || number > most) {
            report(field, fmt::format("must be from {} to {}, is {}", least, most, number));
        } else {
            return number;
        }
    }
    return fallback.value_or(0);
}

double JsonReader::readNumber(std::string_view field, double least, double most, std::optional<double> fallback)
{
    if (const auto* value = require(field, fallback.has_value())) {
        if (!value->is_number()) {
            report(field, "must be a number");
        } else if (auto number = value->to_number<double>(); number < least || number > most) {
            report(field, fmt::format("must be from {} to {}, is {}", least, most, number));
        } else {
            return number;
        }
    }
    return fallback.value_or(0);
}

bool JsonReader::readBool(std::string_view field, std::optional<bool> fallback)
{
    if (const auto* value = require(field, fallback.has_value())) {
        if (const auto* flag = value->if_bool()) {
            return *flag;
        }
        report(field, "must be true or false");
    }
    return fallback.value_or(false);
}

Duration JsonReader::readMilliseconds(
    std::string_view field, Duration least, Duration most, std::optional<Duration> fallback)
{
    auto count = [](Duration duration) { return duration / std::chrono::milliseconds(1); };
    std::optional<std::int64_t> fallbackCount;
    if (fallback) {
        fallbackCount = count(*fallback);
    }
    return std::chrono::milliseconds(readInteger(field, count(least), count(most), fallbackCount));
}

std::vector<std::string> JsonReader::readStrings(
    std::string_view field, std::optional<std::vector<std::string>> fallback)
{
    const auto* value = require(field, fallback.has_value());
    if (!value) {
        return fallback.value_or(std::vector<std::string>());
    }
    std::vector<std::string> strings;
    const auto* array = value->if_array();
    if (!array || !std::ranges::all_of(*array, [](const auto& it) { return it.is_string(); })) {
        report(field, "must be an array of strings");
        return strings;
    }
    for (const auto& it : *array) {
        strings.emplace_back(it.get_string());
    }
    return strings;
}

std::vector<JsonReader> JsonReader::readObjects(std::string_view field)
{
    std::vector<JsonReader> readers;
    if (const auto* value = find(field)) {
        if (const auto* array = value->if_array()) {
            for (std::size_t i = 0; i < array->size(); ++i) {
                readers.emplace_back((*array)[i], fmt::format("{}[{}]", pathOf(field), i), *m_errors);
            }
        } else {
            report(field, "must be an array");
        }
    }
    return readers;
}

std::optional<JsonReader> JsonReader::readObject(std::string_view field)
{
    if (const auto* value = find(field)) {
        return JsonReader(*value, pathOf(field), *m_errors);
    }
    return std::nullopt;
}

void JsonReader::rejectUnknownFields()
{
    if (!m_object) {
        return;
    }
    for (const auto& pair : *m_object) {
        if (!m_known.contains(std::string_view(pair.key()))) {
            report(std::string_view(pair.key()), "is not a known field");
        }
    }
}

Outcome<json::value> parseJson(std::string_view text)
{
    json::stream_parser parser;
    json::error_code ec;
    auto n = parser.write_some(text.data(), text.size(), ec);
    if (!ec && n < text.size() && text.find_first_not_of(" \t\r\n", n) != std::string_view::npos) {
        ec = json::error::extra_data;
    }
    if (!ec) {
        parser.finish(ec);
    }
    if (ec) {
        auto before = text.substr(0, n);
        auto line = 1 + std::ranges::count(before, '\n');
        auto lineStart = before.rfind('\n');
        auto column = lineStart == std::string_view::npos ? before.size() + 1 : before.size() - lineStart;
        return makeError(ErrorCode::InvalidArgument,
            fmt::format("invalid JSON at line {}, column {}: {}", line, column, ec.message()));
    }
    return parser.release();
}

std::string formatErrors(const std::vector<Error>& errors)
{
    std::string text;
    for (const auto& error : errors) {
        text += error.path.empty() ? error.message : fmt::format("{}: {}", error.path, error.message);
        text += '\n';
    }
    return text;
}

} // namespace lagoonspoke
