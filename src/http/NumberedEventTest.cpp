#include "http/NumberedEvent.h"

#include <catch2/catch.hpp>

#include "lagoonspoke/core/Overload.h"

namespace lagoonspoke {

namespace {

std::string describe(std::string_view part)
{
    return std::visit(Overload {
                          [](const NumberedEvent& event) { return std::to_string(event.id); },
                          [](const StreamComment&) { return std::string("comment"); },
                          [](StreamFault fault) { return std::string(toString(fault)); },
                      },
        parseNumberedEvent(part));
}

} // namespace

// Guards against bytes that are taken for an event because nothing refuses them.
TEST_CASE("Each part of a numbered stream is an event, a comment or a fault")
{
    CHECK(describe("id: 7\ndata: a\n\n") == "7");
    CHECK(describe("id:0\r\nevent: x\r\ndata\r\n\r\n") == "0");
    CHECK(describe("\nx-version: 3\nid: 8\ndata: a\n: note\ndata: b\n\n") == "8");
    CHECK(describe(": ping\n\n") == "comment");
    CHECK(describe("retry: 100\n\n") == "comment");
    CHECK(describe("\n\n") == "comment");

    CHECK(describe("data: a\n\n") == "no_id");
    CHECK(describe("event: end\n\n") == "no_id");
    CHECK(describe("x-note: a\n\n") == "no_id");
    CHECK(describe("ID: 7\ndata: a\n\n") == "no_id");
    CHECK(describe("id:\ndata: a\n\n") == "invalid_id");
    CHECK(describe("id: x7\ndata: a\n\n") == "invalid_id");
    CHECK(describe("id: -7\ndata: a\n\n") == "invalid_id");
    CHECK(describe("id: 7 \ndata: a\n\n") == "invalid_id");
    CHECK(describe("id: 1234567890123456789012\ndata: a\n\n") == "invalid_id");
    CHECK(describe("id: 2\ndata: a\nid: 7\ndata: b\n\n") == "several_ids");
    CHECK(describe("id: 7\n\n") == "no_data");
    CHECK(describe("HTTP/1.1 200 OK\r\nx-id: a\r\n\r\n") == "unknown_line");
    CHECK(describe("\xff\xfeid: 7\ndata: a\n\n") == "unknown_line");
    CHECK(describe("hello\nid: 7\ndata: a\n\n") == "unknown_line");
    CHECK(describe("id: 7\ndata: a\r\rdata: b\n\n") == "unknown_line");
    CHECK(describe(": ping\rid: 7\n\n") == "unknown_line");
    CHECK(describe("id\ndata: a\n\n") == "unknown_line");
}

} // namespace lagoonspoke
