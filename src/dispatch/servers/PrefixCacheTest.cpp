#include "dispatch/servers/PrefixCache.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

using namespace std::chrono_literals;

namespace {

PlaceRequest makePrompt(std::vector<std::pair<int, int>> parts)
{
    PlaceRequest place;
    for (auto [block, tokens] : parts) {
        place.prefix.push_back(PrefixBlock(static_cast<std::uint64_t>(block)));
        place.prefixTokens.push_back({ tokens });
        place.promptTokens += { tokens };
    }
    return place;
}

} // namespace

// Guards against counting a part as cached although the parts before it were evicted or differ.
TEST_CASE("Only leading parts of a prompt count as cached")
{
    PrefixCache cache;
    cache.startReading(makePrompt({ { 1, 800 }, { 2, 400 } }), MonotonicTime(1s));
    CHECK(cache.cachedTokens(makePrompt({ { 1, 800 }, { 2, 400 }, { 3, 50 } })).count == 1200);
    CHECK(cache.cachedTokens(makePrompt({ { 1, 800 }, { 4, 400 } })).count == 800);
    CHECK(cache.cachedTokens(makePrompt({ { 4, 400 }, { 1, 800 } })).count == 0);
}

// Guards against starting a request while another one still reads their shared part: it would be read twice.
TEST_CASE("A part is being read until the first token arrives or its expected time passes")
{
    PrefixCache cache;
    auto prompt = makePrompt({ { 1, 800 }, { 2, 400 } });
    cache.startReading(prompt, MonotonicTime(2s));
    auto other = makePrompt({ { 1, 800 }, { 3, 400 } });
    CHECK(cache.isBeingRead(other, MonotonicTime(1s)));
    CHECK_FALSE(cache.isBeingRead(other, MonotonicTime(2s)));
    CHECK_FALSE(cache.isBeingRead(makePrompt({ { 9, 1 } }), MonotonicTime(1s)));
    cache.finishReading(prompt);
    CHECK_FALSE(cache.isBeingRead(other, MonotonicTime(1s)));
}

// Guards against a cache model without eviction: requests would wait for an engine that no longer has their part.
TEST_CASE("The least recently used parts are evicted")
{
    PrefixCache cache;
    cache.setCapacity({ 1000 });
    cache.startReading(makePrompt({ { 1, 400 } }), MonotonicTime());
    cache.startReading(makePrompt({ { 2, 400 } }), MonotonicTime());
    cache.startReading(makePrompt({ { 1, 400 } }), MonotonicTime());
    cache.startReading(makePrompt({ { 3, 400 } }), MonotonicTime());
    CHECK(cache.cachedTokens(makePrompt({ { 1, 400 } })).count == 400);
    CHECK(cache.cachedTokens(makePrompt({ { 2, 400 } })).count == 0);
    CHECK(cache.size().count == 800);
    cache.clear();
    CHECK(cache.cachedTokens(makePrompt({ { 1, 400 } })).count == 0);
}

// Guards against a model that remembers parts without end, as parts without tokens fill no memory of the engine.
TEST_CASE("Parts without tokens are evicted as well")
{
    PrefixCache cache;
    cache.setCapacity({ 1000 });
    for (int i = 0; i < 20'000; ++i) {
        cache.startReading(makePrompt({ { i, 0 } }), MonotonicTime(1s));
    }
    cache.startReading(makePrompt({ { 20'000, 400 } }), MonotonicTime(1s));
    CHECK(cache.partCount() <= 8192);
    CHECK(cache.cachedTokens(makePrompt({ { 20'000, 400 } })).count == 400);
}

} // namespace lagoonspoke
