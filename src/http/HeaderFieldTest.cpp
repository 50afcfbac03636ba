#include "http/HeaderField.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

// Guards against a value from outside that adds a field to a request.
TEST_CASE("A header field ends with its line whatever its value holds")
{
    std::string head = "GET / HTTP/1.1\r\n";
    appendHeaderField(head, "first", "a\r\nsecond: b\n\x7f");
    appendHeaderField(head, "third", "c,\td; e=\"\xc3\xa9\"");
    CHECK(head == "GET / HTTP/1.1\r\nfirst: a  second: b  \r\nthird: c,\td; e=\"\xc3\xa9\"\r\n");
}

} // namespace lagoonspoke
