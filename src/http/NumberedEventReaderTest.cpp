#include "http/NumberedEventReader.h"

#include <random>

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace lagoonspoke {

namespace {

struct Outcome {
    std::string events;
    std::optional<StreamFault> fault;
};

// Reads the bytes as one attempt, in pieces of the given size.
Outcome readAttempt(NumberedEventReader& reader, std::string_view bytes, std::size_t step)
{
    Outcome outcome;
    reader.startAttempt();
    for (std::size_t i = 0; i < bytes.size() && !outcome.fault; i += step) {
        reader.append(bytes.substr(i, step));
        while (auto item = outcome.fault ? std::nullopt : reader.next()) {
            if (const auto* event = std::get_if<NumberedEvent>(&*item)) {
                outcome.events += event->text;
            } else {
                outcome.fault = std::get<FaultyPart>(*item).fault;
            }
        }
    }
    return outcome;
}

std::string event(int id)
{
    return fmt::format("id: {}\ndata: piece {}\n\n", id, id);
}

} // namespace

// Guards against bytes of no run that are passed on, and against events lost before them, however they are split.
TEST_CASE("A numbered stream is read up to its first fault")
{
    struct Case {
        std::string bytes;
        std::string events;
        std::optional<StreamFault> fault;
    };
    auto one = event(1);
    auto two = event(2);
    auto three = event(3);
    const std::vector<Case> cases {
        { one + two + three, one + two + three, {} },
        { one + ": ping\n\n" + two, one + two, {} },
        { one + event(4), one + event(4), {} },
        { one + two + "data: x\n\n" + three, one + two, StreamFault::NoId },
        { "data: x\n\n" + one, "", StreamFault::NoId },
        { one + "HTTP/1.1 200 OK\r\nx-id: a\r\n\r\n" + two, one, StreamFault::UnknownLine },
        { one + "id: 2\ndata: a\nid: 7\ndata: b\n\n" + three, one, StreamFault::SeveralIds },
        { one + "id: x\ndata: a\n\n" + two, one, StreamFault::InvalidId },
        { one + two + one + three, one + two, StreamFault::IdNotIncreasing },
        { one + one, one, StreamFault::IdNotIncreasing },
        { one + "\x01\x02\n\n" + two, one, StreamFault::UnknownLine },
    };
    for (const auto& it : cases) {
        for (std::size_t step = 1; step <= it.bytes.size(); ++step) {
            CAPTURE(it.bytes, step);
            NumberedEventReader reader;
            auto outcome = readAttempt(reader, it.bytes, step);
            REQUIRE(outcome.events == it.events);
            REQUIRE(outcome.fault == it.fault);
        }
    }
}

// Guards against events that come twice, or go missing, because another attempt begins before or after the last one.
TEST_CASE("Another attempt continues after the last event that was given")
{
    NumberedEventReader reader;
    CHECK(readAttempt(reader, event(1) + event(2) + "data: x\n\n", 7).events == event(1) + event(2));
    CHECK(reader.lastId() == 2);
    auto second = readAttempt(reader, event(1) + event(2) + event(3) + "id: x\ndata: a\n\n", 7);
    CHECK(second.events == event(3));
    CHECK(reader.eventCount() == 5);
    CHECK(second.fault == StreamFault::InvalidId);
    CHECK(reader.lastId() == 3);
    // Nothing is left to send.
    CHECK(readAttempt(reader, ": ping\n\n", 7).events.empty());
    CHECK(reader.eventCount() == 5);
    CHECK_FALSE(reader.hasEvents());
    CHECK(readAttempt(reader, event(4), 7).events == event(4));
}

// Guards against an event without an end that fills the memory.
TEST_CASE("A part that never ends is a fault of the stream")
{
    NumberedEventReader reader;
    auto outcome = readAttempt(reader, event(1) + std::string((1 << 20) + 1, 'x'), 16 << 10);
    CHECK(outcome.events == event(1));
    CHECK(outcome.fault == StreamFault::TooLarge);
}

// Guards against input that no table thought of: whatever the bytes and however they are split, what is given are
// whole parts of the input with rising ids.
TEST_CASE("Mutated numbered streams give whole events in order, or a fault")
{
    std::mt19937_64 random(41);
    const std::string stream = event(1) + "x-version: 2\r\nid: 2\r\ndata: a\r\n\r\n: ping\n\n" + event(3)
        + "HTTP/1.1 200 OK\r\n\r\n" + event(4);
    for (int i = 0; i < 20000; ++i) {
        auto bytes = stream;
        for (auto n = random() % 6; n > 0; --n) {
            auto at = random() % (bytes.size() + 1);
            if (random() % 2 == 0) {
                bytes.insert(at, 1, "\n\r:id0a \x80"[random() % 9]);
            } else {
                bytes.erase(at, random() % 8);
            }
        }
        CAPTURE(bytes);
        NumberedEventReader reader;
        reader.startAttempt();
        std::size_t searched = 0;
        std::int64_t lastId = -1;
        bool faulty = false;
        for (std::size_t at = 0; at < bytes.size() && !faulty;) {
            auto n = 1 + random() % 40;
            reader.append(std::string_view(bytes).substr(at, n));
            at += n;
            while (auto item = faulty ? std::nullopt : reader.next()) {
                faulty = std::holds_alternative<FaultyPart>(*item);
                if (const auto* it = std::get_if<NumberedEvent>(&*item)) {
                    auto found = bytes.find(it->text, searched);
                    REQUIRE(found != std::string::npos);
                    searched = found + it->text.size();
                    REQUIRE(it->id > lastId);
                    lastId = it->id;
                    REQUIRE(it->text.find("id:") != std::string_view::npos);
                }
            }
        }
    }
}

} // namespace lagoonspoke
