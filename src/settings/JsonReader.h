#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json.hpp>

#include "lagoonspoke/core/Error.h"
#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// Reads the fields of one JSON object and collects every mistake with the path of its field:
// wrong types, values out of range, missing and unknown fields.
// Lives as long as one reading; the caller owns the value and the list of errors.
class JsonReader {
public:
    JsonReader(const boost::json::value&, std::string path, std::vector<Error>& errors);

    // Each reader returns the fallback, or an empty value when there is none, after reporting a mistake.
    std::string readString(std::string_view field, std::optional<std::string> fallback = {});
    std::int64_t readInteger(
        std::string_view field, std::int64_t least, std::int64_t most, std::optional<std::int64_t> fallback = {});
    double readNumber(std::string_view field, double least, double most, std::optional<double> fallback = {});
    bool readBool(std::string_view field, std::optional<bool> fallback = {});
    // A duration given as a number of milliseconds; the field's name ends in "_ms".
    Duration readMilliseconds(
        std::string_view field, Duration least, Duration most, std::optional<Duration> fallback = {});
    std::vector<std::string> readStrings(std::string_view field, std::optional<std::vector<std::string>> fallback = {});
    // Elements of an array field; an absent field gives none.
    std::vector<JsonReader> readObjects(std::string_view field);
    // An object field; absent gives nothing.
    std::optional<JsonReader> readObject(std::string_view field);

    bool has(std::string_view field) const;
    // Whether the field is present and null.
    bool takeNull(std::string_view field);
    // Reports the fields that no reader has asked for. Call it last.
    void rejectUnknownFields();
    void report(std::string_view field, std::string message);
    // Whether a mistake of the field was reported already.
    bool isReported(std::string_view field) const;
    const std::string& path() const { return m_path; }
    // Mistakes reported so far into the shared list of errors.
    std::size_t errorCount() const { return m_errors->size(); }

private:
    const boost::json::value* find(std::string_view field);
    const boost::json::value* require(std::string_view field, bool optional);
    std::string pathOf(std::string_view field) const;

    const boost::json::object* m_object = nullptr;
    std::string m_path;
    std::vector<Error>* m_errors;
    std::set<std::string, std::less<>> m_known;
};

// Parses JSON text; the error names line and column.
Outcome<boost::json::value> parseJson(std::string_view text);

// One line per error: "PATH: MESSAGE".
std::string formatErrors(const std::vector<Error>&);

} // namespace lagoonspoke
