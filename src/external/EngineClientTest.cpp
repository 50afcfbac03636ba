#include "external/EngineClient.h"

#include <catch2/catch.hpp>

#include "external/InstanceListClient.h"

namespace lagoonspoke {

// Guards against a gap inside a reply that is taken for a whole run, and against blocks over the signed range.
TEST_CASE("cache events are split at gaps")
{
    auto events = parseEngineCacheEvents(R"({"events": [
        {"seq": 4, "kind": "stored", "block": 18446744073709551615},
        {"seq": 5, "kind": "evicted", "block": 7},
        {"seq": 9, "kind": "stored", "block": 8}]})");
    REQUIRE(events);
    REQUIRE(events->runs.size() == 2);
    REQUIRE(events->runs[0].firstSequence == 4);
    REQUIRE(events->runs[0].changes[0].block == PrefixBlock(~0ULL));
    REQUIRE_FALSE(events->runs[0].changes[1].stored);
    REQUIRE(events->runs[1].firstSequence == 9);
    REQUIRE(events->lastSequence == 9);
}

// Guards against damaged replies that reach the dispatcher.
TEST_CASE("damaged reports are errors")
{
    REQUIRE_FALSE(parseEngineLoad("{}"));
    REQUIRE_FALSE(parseEngineLoad(R"({"running": -1, "waiting": 0, "tokens_per_second": 1, "age_ms": 0})"));
    REQUIRE(parseEngineLoad(R"({"running": 1, "waiting": 0, "tokens_per_second": 1.5, "age_ms": 20})"));
    REQUIRE_FALSE(parseEngineCacheEvents(R"({"events": [{"seq": 4, "kind": "stored"}]})"));
    REQUIRE_FALSE(parseEngineCacheEvents(
        R"({"events": [{"seq": 4, "kind": "stored", "block": 1}, {"seq": 3, "kind": "stored", "block": 1}]})"));
}

// Guards against an instance list that is half read.
TEST_CASE("the instance list is read whole or not at all")
{
    auto list = parseInstanceList(R"({"instances": [{"id": "e1", "data_centre": "a", "region": "r",
        "peer_address": "127.0.0.1:1", "leaving": true}], "servers": []})");
    REQUIRE(list);
    REQUIRE(list->instances[0].state == MemberState::Leaving);
    REQUIRE_FALSE(parseInstanceList(R"({"instances": [{"id": "e1"}], "servers": []})"));
}

} // namespace lagoonspoke
