#include "standins/Json.h"

namespace lagoonspoke {

namespace json = boost::json;

std::optional<json::object> parseObject(const std::string& text)
{
    json::error_code ec;
    auto value = json::parse(text, ec);
    if (ec || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.get_object());
}

std::int64_t integerField(const json::object& object, std::string_view name, std::int64_t fallback)
{
    const auto* value = object.if_contains(name);
    json::error_code ec;
    auto number = value && value->is_number() ? value->to_number<std::int64_t>(ec) : fallback;
    return ec ? fallback : number;
}

double numberField(const json::object& object, std::string_view name, double fallback)
{
    const auto* value = object.if_contains(name);
    return value && value->is_number() ? value->to_number<double>() : fallback;
}

bool boolField(const json::object& object, std::string_view name, bool fallback)
{
    const auto* value = object.if_contains(name);
    return value && value->is_bool() ? value->get_bool() : fallback;
}

std::string stringField(const json::object& object, std::string_view name, std::string fallback)
{
    const auto* value = object.if_contains(name);
    return value && value->is_string() ? std::string(value->get_string()) : std::move(fallback);
}

} // namespace lagoonspoke
