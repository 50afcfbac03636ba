#include "http/HttpTarget.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

// Guards against a name that ends its part of a target early, or begins another one.
TEST_CASE("Each byte of a target's parts that has a meaning there is encoded")
{
    HttpTarget target;
    target.addSegment("a/b?c#d%e f").addPath("g/h\r\ni").addParameter("j&k=", "l&m=n+o").addParameter("p", "");
    CHECK(target.text() == "/a%2Fb%3Fc%23d%25e%20f/g/h%0D%0Ai?j%26k%3D=l%26m%3Dn%2Bo&p=");
    HttpTarget bytes;
    bytes.addSegment(std::string_view("\0\x7f\xc3\xa9\"", 5));
    CHECK(bytes.text() == "/%00%7F%C3%A9%22");
}

// Guards against targets that other versions of the product write in another way.
TEST_CASE("Unreserved characters are not encoded")
{
    HttpTarget target;
    target.addSegment("azAZ09-._~").addParameter("after", "streams.edge-hcm-a-1");
    CHECK(target.text() == "/azAZ09-._~?after=streams.edge-hcm-a-1");
}

} // namespace lagoonspoke
