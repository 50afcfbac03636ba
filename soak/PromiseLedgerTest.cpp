#include "soak/PromiseLedger.h"

#include <catch2/catch.hpp>

namespace lagoonspoke::soak {

namespace {

constexpr MonotonicTime start(std::chrono::hours(1));

CallRecord makeCall(CallKind kind, std::string id, MonotonicTime started = start)
{
    CallRecord call { std::move(id), kind, "red", "d0", started, started + std::chrono::milliseconds(50), 8, false,
        {} };
    call.result.done = true;
    call.result.status = 200;
    call.result.complete = true;
    call.result.tokens = kind == CallKind::Stream || kind == CallKind::Whole ? 8 : 0;
    call.result.body = "{\"target\":\"" + call.id + "\"}";
    return call;
}

std::size_t violationsOf(const CallRecord& call)
{
    PromiseLedger ledger({});
    ledger.noteCall(call);
    return ledger.violations().size();
}

} // namespace

// Each case guards against a soak that passes although a promise is broken.

TEST_CASE("broken, foreign and seemingly complete answers are found")
{
    REQUIRE(violationsOf(makeCall(CallKind::Stream, "a")) == 0);
    REQUIRE(violationsOf(makeCall(CallKind::Lookup, "/app/look/a")) == 0);
    auto gap = makeCall(CallKind::Stream, "a");
    gap.result.inOrder = false;
    REQUIRE(violationsOf(gap) == 1);
    auto half = makeCall(CallKind::Stream, "a");
    half.result.tokens = 3;
    REQUIRE(violationsOf(half) == 1);
    auto foreign = makeCall(CallKind::Lookup, "/app/look/a");
    foreign.result.body = "{\"target\":\"/app/look/b\"}";
    REQUIRE(violationsOf(foreign) == 1);
}

TEST_CASE("a second run, a false refusal and a lost request are found")
{
    PromiseLedger ledger({});
    ledger.noteCall(makeCall(CallKind::Booking, "/app/book/once"));
    ledger.noteCall(makeCall(CallKind::Booking, "/app/book/twice"));
    auto refused = makeCall(CallKind::Booking, "/app/book/refused");
    refused.result.status = 503;
    refused.result.run = "not-run";
    ledger.noteCall(refused);
    auto lost = makeCall(CallKind::Booking, "/app/book/lost");
    lost.result = {};
    ledger.noteCall(lost);
    ledger.checkEffects({ { "/app/book/once", 1 } });
    REQUIRE(ledger.violations().size() == 1); // "twice" was answered and never ran
    ledger.checkEffects(
        { { "/app/book/once", 1 }, { "/app/book/twice", 2 }, { "/app/book/refused", 1 }, { "/app/book/lost", 1 } });
    REQUIRE(ledger.violations().size() == 4);
}

TEST_CASE("a request lost by a killed process is no violation")
{
    PromiseLedger ledger({});
    auto lost = makeCall(CallKind::Booking, "/app/book/lost");
    lost.result = {};
    ledger.noteKill("d0", start + std::chrono::milliseconds(10));
    ledger.noteCall(lost);
    ledger.checkEffects({ { "/app/book/lost", 1 } });
    REQUIRE(ledger.violations().empty());
}

TEST_CASE("withdrawn keys that work and valid keys that are refused are found")
{
    PromiseLedger ledger({});
    ledger.noteKey("red", false, start);
    ledger.noteCall(makeCall(CallKind::Lookup, "/l", start + std::chrono::seconds(9)));
    REQUIRE(ledger.violations().empty());
    ledger.noteCall(makeCall(CallKind::Lookup, "/l", start + std::chrono::seconds(11)));
    REQUIRE(ledger.violations().size() == 1);
    ledger.noteKey("red", true, start + std::chrono::seconds(20));
    auto refused = makeCall(CallKind::Lookup, "/l", start + std::chrono::seconds(25));
    refused.result.status = 401;
    ledger.noteCall(refused);
    REQUIRE(ledger.violations().size() == 1);
    refused.started = start + std::chrono::seconds(31);
    refused.ended = refused.started;
    ledger.noteCall(refused);
    REQUIRE(ledger.violations().size() == 2);
}

TEST_CASE("a configuration that goes back is found, and a new process may begin anew")
{
    PromiseLedger ledger({});
    ledger.noteConfiguration("d0#1", 4);
    ledger.noteConfiguration("d0#2", 0);
    REQUIRE(ledger.violations().empty());
    ledger.noteConfiguration("d0#1", 3);
    REQUIRE(ledger.violations().size() == 1);
}

TEST_CASE("usage that is missing or invented is found")
{
    auto check = [](ReportedUsage reported) {
        PromiseLedger ledger({});
        for (int i = 0; i < 100; ++i) {
            ledger.noteCall(makeCall(CallKind::Stream, "a"));
        }
        ledger.checkUsage({ { "red", reported } });
        return ledger.violations().size();
    };
    REQUIRE(check({ 100, 800 }) == 0);
    REQUIRE(check({ 95, 760 }) == 0);
    REQUIRE(check({ 94, 800 }) == 1);
    REQUIRE(check({ 101, 800 }) == 1);
    REQUIRE(check({ 100, 801 }) == 1);
}

TEST_CASE("usage may be lost only shortly before all instances died at once")
{
    PromiseLedger ledger({});
    for (int i = 0; i < 100; ++i) {
        ledger.noteCall(makeCall(CallKind::Stream, "a", start + std::chrono::milliseconds(100 * i)));
    }
    ledger.noteKillOfAll(start + std::chrono::seconds(10));
    REQUIRE_FALSE(ledger.isUsageWhole({ { "red", { 75, 608 } } }));
    REQUIRE(ledger.isUsageWhole({ { "red", { 80, 640 } } }));
}

TEST_CASE("usage that no store took before all instances died at once may be lost")
{
    PromiseLedger ledger({});
    for (int i = 0; i < 100; ++i) {
        ledger.noteCall(makeCall(CallKind::Stream, "a", start + std::chrono::milliseconds(100 * i)));
    }
    // The store is up for the last second, and for the one before the outage.
    ledger.noteStoreDown(true, start + std::chrono::seconds(5));
    ledger.noteStoreDown(false, start + std::chrono::seconds(9));
    ledger.noteKillOfAll(start + std::chrono::seconds(10));
    REQUIRE_FALSE(ledger.isUsageWhole({ { "red", { 37, 296 } } }));
    REQUIRE(ledger.isUsageWhole({ { "red", { 39, 312 } } }));
}

} // namespace lagoonspoke::soak
