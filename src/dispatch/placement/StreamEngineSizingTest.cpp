#include "dispatch/placement/StreamEngineSizing.h"

#include <random>

#include <catch2/catch.hpp>

namespace lagoonspoke {

using namespace std::chrono_literals;

namespace {

constexpr double requestsPerSecond = 115;

// 60 engines of 64 slots: 21 ms from event to event, 20 ms for the prompt of a stream, 2.5 times slower for a part of
// the time.
StreamDemand makeDemand(double burst = 1)
{
    StreamDemand demand;
    demand.gapTarget = 150ms;
    demand.meanReading = 0.02;
    demand.readingPerSecond = burst * requestsPerSecond * demand.meanReading;
    demand.otherReadingPerSecond = 6;
    demand.streams = static_cast<int>(burst * requestsPerSecond);
    demand.slotsPerEngine = 64;
    demand.usableEngines = 60;
    demand.eventSeconds = 0.021;
    demand.slowEventSeconds = 0.0525;
    return demand;
}

// Part of the intervals of a gap target in which an engine's prompts and the tokens of one event do not fit, with
// random arrivals.
double latePart(const StreamDemand& demand, int engines, double slowness)
{
    std::mt19937_64 random(1);
    auto gap = toSeconds(demand.gapTarget);
    auto perEngine = demand.readingPerSecond / demand.meanReading / engines;
    std::poisson_distribution<int> prompts(perEngine * gap);
    int late = 0;
    constexpr int intervals = 20000;
    for (int i = 0; i < intervals; ++i) {
        auto busy = slowness * (prompts(random) * demand.meanReading + demand.eventSeconds);
        late += busy > gap ? 1 : 0;
    }
    return static_cast<double>(late) / intervals;
}

} // namespace

// Guards against two or three engines that take all streams, as they have the slots, while 25 in 100 of the streams are
// late by the reading of each other's prompts.
TEST_CASE("stream engines are as many as the streams' prompts need")
{
    StreamEngineSizing sizing;
    auto demand = makeDemand();
    auto engines = sizing.update(demand, 1, MonotonicTime(100s));
    CHECK(engines > 4);
    CHECK(engines <= 20); // a third of all
    CHECK(latePart(demand, engines, 1) < 0.05);
    CHECK(latePart(demand, engines, 2.5) < 0.25);
    auto burst = makeDemand(1.6);
    auto more = sizing.update(burst, engines, MonotonicTime(101s));
    CHECK(more > 1.5 * engines);
    CHECK(latePart(burst, more, 1) < 0.05);
    CHECK(latePart(burst, more, 2.5) < 0.25);
}

// Guards against streams that take the engines which long prompts need at that time.
TEST_CASE("long prompts keep the engines that they need")
{
    StreamEngineSizing sizing;
    auto demand = makeDemand(2.4);
    demand.otherReadingPerSecond = 25;
    CHECK(sizing.update(demand, 1, MonotonicTime(100s)) <= 10);
    // But the streams have the slots that they fill.
    demand.streams = 700;
    CHECK(sizing.update(demand, 1, MonotonicTime(100s)) >= 16);
}

// Guards against streams that take engines from long prompts which are late already, and against engines that change
// sides with each wave of them.
TEST_CASE("while long prompts wait the streams get the engines whose slots they fill")
{
    StreamEngineSizing sizing;
    auto demand = makeDemand();
    auto engines = sizing.update(demand, 1, MonotonicTime(100s));
    demand.otherUnreadSeconds = 0.4;
    auto fewer = sizing.update(demand, engines, MonotonicTime(101s));
    CHECK(fewer == 3);
    demand.otherUnreadSeconds = 0;
    CHECK(sizing.update(demand, fewer, MonotonicTime(102s)) == fewer);
    CHECK(sizing.update(demand, fewer, MonotonicTime(107s)) == engines);
}

// Guards against engines that change sides with every change of the load and lose the parts that they have cached.
TEST_CASE("the number of stream engines follows a fall only when it has lasted")
{
    StreamEngineSizing sizing;
    MonotonicTime now { 100s };
    auto most = sizing.update(makeDemand(2.4), 1, now);
    for (int i = 0; i < 9; ++i) {
        now += 1s;
        CHECK(sizing.update(makeDemand(), most, now) == most);
    }
    now += 1s;
    CHECK(sizing.update(makeDemand(), most, now) < most);
}

TEST_CASE("sizing by prompts is for streams with tight gap targets")
{
    CHECK(StreamEngineSizing::appliesTo(150ms, 5));
    CHECK(StreamEngineSizing::appliesTo(250ms, 7));
    CHECK_FALSE(StreamEngineSizing::appliesTo(600ms, 7));
    CHECK_FALSE(StreamEngineSizing::appliesTo(250ms, 3));
    CHECK_FALSE(StreamEngineSizing::appliesTo(0ms, 5));
}

// Guards against a division by what is not measured yet.
TEST_CASE("without measurements the streams' slots decide")
{
    StreamEngineSizing sizing;
    StreamDemand demand;
    demand.gapTarget = 150ms;
    demand.streams = 130;
    demand.slotsPerEngine = 64;
    demand.usableEngines = 20;
    CHECK(sizing.update(demand, 1, MonotonicTime(1s)) == 4);
}

} // namespace lagoonspoke
