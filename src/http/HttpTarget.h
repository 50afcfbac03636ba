#pragma once

#include <string>
#include <string_view>

namespace lagoonspoke {

// Builds the target of an HTTP request. Every part may hold any bytes; what is not an unreserved character of RFC 3986,
// section 2.3, is percent-encoded.
class HttpTarget {
public:
    // A segment of the path; a slash in it is encoded. Call it before addParameter().
    HttpTarget& addSegment(std::string_view);
    // Segments that slashes separate.
    HttpTarget& addPath(std::string_view);
    HttpTarget& addParameter(std::string_view name, std::string_view value);

    const std::string& text() const { return m_text; }

private:
    void appendEncoded(std::string_view);

    std::string m_text;
    bool m_hasQuery = false;
};

// The text with its percent-encoded bytes decoded; an incomplete encoding stays as it is.
std::string decodePercent(std::string_view);

} // namespace lagoonspoke
