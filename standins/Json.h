#pragma once

#include <optional>
#include <string>

#include <boost/json.hpp>

namespace lagoonspoke {

// Lenient readers for the stand-ins: a missing field or one of another type gives the fallback.
std::optional<boost::json::object> parseObject(const std::string& text);
std::int64_t integerField(const boost::json::object&, std::string_view name, std::int64_t fallback);
double numberField(const boost::json::object&, std::string_view name, double fallback);
bool boolField(const boost::json::object&, std::string_view name, bool fallback);
std::string stringField(const boost::json::object&, std::string_view name, std::string fallback);

} // namespace lagoonspoke
