#include "http/SseReader.h"

#include <vector>

#include <catch2/catch.hpp>

namespace lagoonspoke {

// Guards against events that are lost, joined or cut when the stream is split anywhere.
TEST_CASE("events are the same however the stream is split")
{
    const std::string stream = "data: a\n\nevent: x\r\ndata: b\r\ndata: c\r\n\r\n: comment\n\ndata: d";
    for (std::size_t step = 1; step <= stream.size(); ++step) {
        SseReader reader;
        std::vector<std::string> events;
        for (std::size_t i = 0; i < stream.size(); i += step) {
            reader.append(std::string_view(stream).substr(i, step));
            while (auto event = reader.next()) {
                events.emplace_back(*event);
            }
        }
        REQUIRE(events
            == std::vector<std::string> { "data: a\n\n", "event: x\r\ndata: b\r\ndata: c\r\n\r\n", ": comment\n\n" });
        REQUIRE(reader.hasPartialEvent());
    }
}

// Guards against data that loses its line breaks or keeps the field's name.
TEST_CASE("the data of an event is joined from its lines")
{
    REQUIRE(dataOf("event: x\r\ndata: b\r\ndata:c\r\n\r\n") == "b\nc");
    REQUIRE(dataOf("data: [DONE]\n\n") == "[DONE]");
    REQUIRE(dataOf(": data: no\n\n").empty());
}

// Guards against an event without an end that fills the memory.
TEST_CASE("an unfinished event above the limit is noticed")
{
    SseReader reader(8);
    reader.append("data: a\n\n12345678");
    REQUIRE(reader.next());
    REQUIRE_FALSE(reader.next());
    REQUIRE_FALSE(reader.overflowed());
    reader.append("9");
    REQUIRE(reader.overflowed());
}

} // namespace lagoonspoke
