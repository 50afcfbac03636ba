#include "config/CanonicalJson.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace lagoonspoke {

namespace json = boost::json;

namespace {

// Larger numbers have no exact multiple of a millionth in a double.
constexpr double largestRounded = 1e9;
constexpr double scale = 1e6;

void append(const json::value&, std::string&);

void appendObject(const json::object& object, std::string& text)
{
    std::vector<const json::key_value_pair*> fields;
    for (const auto& field : object) {
        fields.push_back(&field);
    }
    std::ranges::sort(fields, {}, [](const auto* it) { return std::string_view(it->key()); });
    char separator = '{';
    for (const auto* field : fields) {
        text += separator;
        text += json::serialize(field->key());
        text += ':';
        append(field->value(), text);
        separator = ',';
    }
    text += fields.empty() ? "{}" : "}";
}

void appendArray(const json::array& array, std::string& text)
{
    char separator = '[';
    for (const auto& it : array) {
        text += separator;
        append(it, text);
        separator = ',';
    }
    text += array.empty() ? "[]" : "]";
}

void append(const json::value& value, std::string& text)
{
    if (const auto* object = value.if_object()) {
        appendObject(*object, text);
    } else if (const auto* array = value.if_array()) {
        appendArray(*array, text);
    } else if (const auto* number = value.if_double()) {
        auto rounded = roundToDecimals(*number);
        bool isWhole = std::abs(rounded) <= largestRounded && rounded == std::floor(rounded);
        text += isWhole ? std::to_string(static_cast<std::int64_t>(rounded)) : json::serialize(json::value(rounded));
    } else {
        text += json::serialize(value);
    }
}

} // namespace

std::string serialiseCanonically(const json::value& value)
{
    std::string text;
    append(value, text);
    return text;
}

double roundToDecimals(double number)
{
    return std::abs(number) <= largestRounded ? std::round(number * scale) / scale : number;
}

} // namespace lagoonspoke
