#include "dispatch/servers/PartQuarantine.h"

#include <algorithm>

#include <catch2/catch.hpp>

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

constexpr Fingerprint common { 1 };
constexpr Fingerprint deadly { 2 };
const PartQuarantine::Parts deadlyRequest { common, deadly };
const PartQuarantine::Parts deadlyElsewhere { deadly, Fingerprint { 3 } };
const PartQuarantine::Parts soundRequest { common, Fingerprint { 4 } };

// Two deaths in a row of the only request that its server had not begun to answer, at 2 and 4 s.
PartQuarantine makeQuarantined()
{
    PartQuarantine quarantine(30s, 10min);
    CHECK(quarantine.recordDeath({ deadlyRequest, MonotonicTime(1s), true }, MonotonicTime(2s)).empty());
    CHECK(quarantine.recordDeath({ deadlyRequest, MonotonicTime(3s), true }, MonotonicTime(4s)) == deadlyRequest);
    return quarantine;
}

} // namespace

// Guards against condemning a common part that waits for its first answer beside the deadly one when it strikes again.
TEST_CASE("a part that was quarantined with a deadly one is not condemned by itself for dying beside it again")
{
    auto quarantine = makeQuarantined();
    CHECK(quarantine.remainingQuarantine(deadlyRequest, MonotonicTime(5s)));
    CHECK_FALSE(quarantine.remainingQuarantine(soundRequest, MonotonicTime(5s)));
    CHECK(quarantine.recordDeath({ deadlyElsewhere, MonotonicTime(5s) }, MonotonicTime(6s)).empty());
    CHECK(quarantine.recordDeath({ soundRequest, MonotonicTime(5s) }, MonotonicTime(6s)).empty());
    CHECK_FALSE(quarantine.remainingQuarantine(soundRequest, MonotonicTime(7s)));
    quarantine.recordAnswered(soundRequest, MonotonicTime(7s), MonotonicTime(8s));
    CHECK(quarantine.remainingQuarantine(deadlyElsewhere, MonotonicTime(8s)));
    CHECK_FALSE(quarantine.isSuspect(common, MonotonicTime(8s)));
}

// Guards against a deadly part that is taken for harmless because it always has other companions.
TEST_CASE("a part that was quarantined with others is condemned when it crashes servers without them")
{
    auto quarantine = makeQuarantined();
    CHECK(quarantine.recordDeath({ deadlyElsewhere, MonotonicTime(5s), true }, MonotonicTime(6s)).empty());
    auto changed = quarantine.recordDeath({ deadlyElsewhere, MonotonicTime(7s), true }, MonotonicTime(8s));
    CHECK(std::ranges::count(changed, deadly) == 1);
    CHECK(quarantine.remainingQuarantine({ deadly }, MonotonicTime(9s)));
    CHECK_FALSE(quarantine.remainingQuarantine({ Fingerprint { 3 } }, MonotonicTime(9s)));
    CHECK_FALSE(quarantine.remainingQuarantine(soundRequest, MonotonicTime(9s)));
}

// Guards against quarantines that let a deadly part strike twice a minute for ever.
TEST_CASE("each further quarantine of a part lasts twice as long")
{
    PartQuarantine quarantine(30s, 1min);
    const PartQuarantine::Parts parts { deadly };
    auto now = MonotonicTime(10s);
    quarantine.recordDeath({ parts, now - 1s, true }, now);
    now += 2s;
    quarantine.recordDeath({ parts, now - 1s, true }, now);
    CHECK(quarantine.remainingQuarantine(parts, now) == Duration(30s));
    for (auto expected : { 1min, 1min }) {
        now += 61s;
        REQUIRE_FALSE(quarantine.remainingQuarantine(parts, now));
        REQUIRE(quarantine.isSuspect(deadly, now));
        quarantine.recordDeath({ parts, now - 1s }, now);
        CHECK(quarantine.remainingQuarantine(parts, now) == Duration(expected));
    }
}

// Guards against an answer that began before the crash and ends a quarantine.
TEST_CASE("an answer from before the last death does not end a quarantine")
{
    auto quarantine = makeQuarantined();
    CHECK(quarantine.recordAnswered(deadlyRequest, MonotonicTime(3s), MonotonicTime(5s)).empty());
    CHECK(quarantine.remainingQuarantine(deadlyRequest, MonotonicTime(5s)));
}

} // namespace lagoonspoke
