#include "settings/DuplicateFields.h"

#include <set>

#include <boost/json/basic_parser_impl.hpp>
#include <fmt/format.h>

namespace lagoonspoke {

namespace json = boost::json;

namespace {

// Follows the parser through the text and keeps the field names of every open object. The names of the members are
// those that boost::json::basic_parser calls.
class FieldHandler {
public:
    // NOLINTBEGIN(readability-identifier-naming)
    static constexpr std::size_t max_object_size = static_cast<std::size_t>(-1);
    static constexpr std::size_t max_array_size = static_cast<std::size_t>(-1);
    static constexpr std::size_t max_key_size = static_cast<std::size_t>(-1);
    static constexpr std::size_t max_string_size = static_cast<std::size_t>(-1);

    bool on_document_begin(json::error_code&) { return true; }
    bool on_document_end(json::error_code&) { return true; }
    bool on_object_begin(json::error_code&) { return open(false); }
    bool on_object_end(std::size_t, json::error_code&) { return close(); }
    bool on_array_begin(json::error_code&) { return open(true); }
    bool on_array_end(std::size_t, json::error_code&) { return close(); }
    bool on_key_part(json::string_view part, std::size_t, json::error_code&) { return append(part); }
    bool on_key(json::string_view part, std::size_t, json::error_code&)
    {
        append(part);
        auto& level = m_levels.back();
        level.segment = std::move(m_key);
        m_key.clear();
        if (!level.names.insert(level.segment).second) {
            m_errors.push_back({ ErrorCode::InvalidArgument, "appears twice", path() });
        }
        return true;
    }
    bool on_string_part(json::string_view, std::size_t, json::error_code&) { return true; }
    bool on_string(json::string_view, std::size_t, json::error_code&) { return finishValue(); }
    bool on_number_part(json::string_view, json::error_code&) { return true; }
    bool on_int64(std::int64_t, json::string_view, json::error_code&) { return finishValue(); }
    bool on_uint64(std::uint64_t, json::string_view, json::error_code&) { return finishValue(); }
    bool on_double(double, json::string_view, json::error_code&) { return finishValue(); }
    bool on_bool(bool, json::error_code&) { return finishValue(); }
    bool on_null(json::error_code&) { return finishValue(); }
    bool on_comment_part(json::string_view, json::error_code&) { return true; }
    bool on_comment(json::string_view, json::error_code&) { return true; }
    // NOLINTEND(readability-identifier-naming)

    std::vector<Error> takeErrors() { return std::move(m_errors); }

private:
    struct Level {
        bool isArray = false;
        std::size_t index = 0; // of the next element
        std::string segment; // the current field
        std::set<std::string> names;
    };

    bool open(bool isArray)
    {
        m_levels.push_back({ isArray, 0, {}, {} });
        return true;
    }
    bool close()
    {
        m_levels.pop_back();
        return finishValue();
    }
    bool append(json::string_view part)
    {
        m_key.append(part.data(), part.size());
        return true;
    }
    bool finishValue()
    {
        if (!m_levels.empty()) {
            ++m_levels.back().index;
        }
        return true;
    }
    std::string path() const
    {
        std::string text;
        for (const auto& level : m_levels) {
            if (level.isArray) {
                text += fmt::format("[{}]", level.index);
            } else {
                text += (text.empty() ? "" : ".") + level.segment;
            }
        }
        return text;
    }

    std::vector<Level> m_levels;
    std::string m_key;
    std::vector<Error> m_errors;
};

} // namespace

std::vector<Error> findDuplicateFields(std::string_view text)
{
    json::basic_parser<FieldHandler> parser { json::parse_options {} };
    json::error_code ec;
    parser.write_some(false, text.data(), text.size(), ec);
    return parser.handler().takeErrors();
}

} // namespace lagoonspoke
