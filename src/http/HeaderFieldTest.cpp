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

// Guards against forwarding a field that Connection names in another case or beside blanks.
TEST_CASE("Options of Connection are found in any case and without the blanks around them")
{
    CHECK(connectionOptionsOf("Keep-Alive,\t X-Hop ,close") == ConnectionOptions { "close", "keep-alive", "x-hop" });
}

} // namespace lagoonspoke
