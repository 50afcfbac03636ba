#include "http/HeldInput.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t mostBytes = 1 << 20;
constexpr std::size_t largeRequest = 600 << 10;
constexpr MonotonicTime start { 10s };

// A request that is being read.
struct Reader {
    explicit Reader(const HeldInput& held, MonotonicTime now = start)
        : share(held)
    {
        share.startReading(now, [this] { ++ends; });
    }

    HeldInput::Share share;
    int ends = 0;
};

} // namespace

// Guards against callers that hold the memory of the process with bodies that they do not end.
TEST_CASE("A stalled request gives way to one that needs its memory")
{
    HeldInput held({ mostBytes, 1s });
    Reader stalled(held);
    Reader other(held);
    REQUIRE(stalled.share.hold(largeRequest, start) == InputAdmission::Admitted);
    other.share.noteReceived(largeRequest, start + 1s);
    CHECK(other.share.hold(largeRequest, start + 1s) == InputAdmission::Admitted);
    CHECK(stalled.ends == 1);
    CHECK(stalled.share.admission() == InputAdmission::Evicted);
    // What its reader finds afterwards does not bring it back.
    CHECK(stalled.share.hold(largeRequest, start + 1s) == InputAdmission::Evicted);
    CHECK(held.total() == largeRequest);
}

// Guards against requests that end each other, so that none completes, where all of them make progress.
TEST_CASE("A request that makes progress is not evicted")
{
    HeldInput held({ mostBytes, 1s });
    Reader first(held);
    REQUIRE(first.share.hold(largeRequest, start) == InputAdmission::Admitted);
    first.share.noteReceived(1024, start + 900ms);
    Reader second(held, start + 1s);
    CHECK(second.share.hold(largeRequest, start + 1s) == InputAdmission::Refused);
    CHECK(first.ends == 0);
    CHECK(second.share.timeToRoom(start + 1s) == 900ms);
    second.share.release();
    CHECK(held.total() == largeRequest);
}

// Guards against callers that keep a request from stalling with a byte at a time.
TEST_CASE("Single bytes are no progress")
{
    HeldInput held({ mostBytes, 1s });
    Reader trickling(held);
    for (int i = 1; i <= 10; ++i) {
        trickling.share.noteReceived(1, start + i * 100ms);
    }
    CHECK(held.evictStalled(start + 1s));
    CHECK(trickling.ends == 1);
    CHECK_FALSE(held.evictStalled(start + 1s));
}

// Guards against the eviction of requests that were read whole and wait for their answer.
TEST_CASE("A request that was read whole is not evicted and keeps its memory")
{
    HeldInput held({ mostBytes, 1s });
    Reader waiting(held);
    REQUIRE(waiting.share.hold(largeRequest, start) == InputAdmission::Admitted);
    waiting.share.stopReading();
    CHECK_FALSE(held.evictStalled(start + 10s));
    Reader refused(held, start + 10s);
    CHECK(refused.share.hold(largeRequest, start + 10s) == InputAdmission::Refused);
    refused.share.release();
    Reader small(held, start + 10s);
    CHECK(small.share.hold(2048, start + 10s) == InputAdmission::Admitted);
    CHECK(waiting.ends == 0);
}

// Guards against a limit that also keeps out requests of the usual size once large ones have filled it.
TEST_CASE("Above the limit small requests are admitted up to twice the limit, and tiny ones beyond")
{
    HeldInput held({ 64 * mostBytes, 1s });
    std::vector<std::unique_ptr<Reader>> waiting;
    auto addWaiting = [&](std::size_t bytes) {
        waiting.push_back(std::make_unique<Reader>(held));
        REQUIRE(waiting.back()->share.hold(bytes, start) == InputAdmission::Admitted);
        waiting.back()->share.stopReading();
    };
    addWaiting(64 * mostBytes);
    Reader large(held);
    CHECK(large.share.hold(mostBytes, start) == InputAdmission::Refused);
    while (held.total() < 128 * mostBytes) {
        addWaiting(mostBytes / 4);
    }
    Reader small(held);
    CHECK(small.share.hold(mostBytes / 4, start) == InputAdmission::Refused);
    Reader tiny(held);
    CHECK(tiny.share.hold(4096, start) == InputAdmission::Admitted);
}

// Guards against bodies that are all given up when the limit is reached, also those for which there is room.
TEST_CASE("Above the limit the requests that became large last are refused, so that earlier ones complete")
{
    HeldInput held({ mostBytes, 1s });
    std::vector<std::unique_ptr<Reader>> readers;
    readers.reserve(12);
    for (int i = 0; i < 12; ++i) {
        readers.push_back(std::make_unique<Reader>(held));
    }
    // All grow at the same time, up to an eighth of the limit.
    for (std::size_t n = 8192; n <= mostBytes / 8; n += 8192) {
        for (auto& reader : readers) {
            reader->share.noteReceived(8192, start);
            reader->share.hold(n, start);
        }
    }
    for (std::size_t i = 0; i < readers.size(); ++i) {
        INFO(i);
        CHECK((readers[i]->share.admission() == InputAdmission::Admitted) == (i < 8));
        CHECK(readers[i]->ends == (i < 8 ? 0 : 1));
    }
    CHECK(held.total() == mostBytes);
}

// Guards against a process that keeps the memory of a crowd, so that the next one finds less.
TEST_CASE("The peak is reset once, when the total has fallen")
{
    HeldInput held({ 64 << 20, 1s });
    CHECK_FALSE(held.resetFallenPeak());
    Reader reader(held);
    reader.share.hold(20 << 20, start);
    CHECK_FALSE(held.resetFallenPeak());
    reader.share.release();
    CHECK(held.resetFallenPeak());
    CHECK_FALSE(held.resetFallenPeak());
}

} // namespace lagoonspoke
