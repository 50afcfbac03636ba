#include "dispatch/queue/DeathConfirmation.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

GrantedRequest makeGranted(const std::string& server, Duration at)
{
    GrantedRequest granted;
    granted.server = BackendServerId(server);
    granted.grantedAt = MonotonicTime(at);
    granted.place.parts = { Fingerprint { 1 } };
    return granted;
}

} // namespace

// Guards against a dispatcher that keeps the requests of every server that ever died.
TEST_CASE("a death that no second request confirms is forgotten")
{
    DeathConfirmation deaths;
    for (int i = 0; i < 100; ++i) {
        auto granted = makeGranted(std::to_string(i), 1s);
        deaths.begin(granted.server, 1, 2, MonotonicTime(2s));
        CHECK(deaths.add(granted, MonotonicTime(2s)).empty());
    }
    deaths.removeExpired(MonotonicTime(3s));
    CHECK(deaths.size() == 100);
    deaths.removeExpired(MonotonicTime(3001ms));
    CHECK(deaths.size() == 0);
}

TEST_CASE("a confirmed death returns each request that had hardly begun once")
{
    DeathConfirmation deaths;
    auto unanswered = makeGranted("a", 1s);
    auto answered = makeGranted("a", 1s);
    answered.answerBeganAt = MonotonicTime(1500ms);
    deaths.begin(unanswered.server, 2, 1, MonotonicTime(2s));
    CHECK(deaths.add(unanswered, MonotonicTime(2s)).empty());
    auto dead = deaths.add(answered, MonotonicTime(2010ms));
    REQUIRE(dead.size() == 1);
    CHECK(dead[0].isSole);
    CHECK(dead[0].parts == unanswered.place.parts);
    CHECK(deaths.add(answered, MonotonicTime(2020ms)).empty());
}

TEST_CASE("a request that goes on refutes the death of its server once reports sent before it have arrived")
{
    DeathConfirmation deaths;
    auto broken = makeGranted("a", 1s);
    auto other = makeGranted("a", 1s);
    deaths.begin(broken.server, 1, 2, MonotonicTime(2s));
    CHECK(deaths.add(broken, MonotonicTime(2s)).empty());
    deaths.refute(other, MonotonicTime(2100ms));
    CHECK(deaths.size() == 1);
    deaths.refute(makeGranted("a", 2050ms), MonotonicTime(2200ms));
    CHECK(deaths.size() == 1);
    deaths.refute(other, MonotonicTime(2101ms));
    CHECK(deaths.size() == 0);
    CHECK(deaths.add(other, MonotonicTime(2200ms)).empty());
}

} // namespace lagoonspoke
