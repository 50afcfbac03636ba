#include "dispatch/placement/StreamEngineSizing.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lagoonspoke {

namespace {

// How far the number of prompts within a gap target may lie above its mean, in standard deviations, so that they still
// fit: on an ordinary engine in 95 of 100 intervals, on one of the few that are slow at the moment in 75 of 100, where
// only one or two fit.
constexpr double bunching = 1.65;
constexpr double bunchingOfSlow = 1;
// An engine whose streams alone fill the gap target still reads one prompt now and then.
constexpr double leastReadingShare = 0.05;
// Part of the slots that the streams fill at most; beyond it they would wait for one another.
constexpr double mostSlotsFilled = 0.65;
// Engines for other prompts, as a multiple of those that reading keeps busy on average: their prompts come in bunches
// too, and have targets of their own.
constexpr double otherHeadroom = 2;
constexpr Duration shrinkDelay = std::chrono::seconds(10);
// Unread prompts of this time at each of the other engines mean that their load is at its limit: it is above what an
// engine gets of long prompts. It stays so for a while, as bursts come in waves. With 0.1 s the streams of a calm day
// gave way too.
constexpr double behindSeconds = 0.35;
constexpr Duration behindDelay = std::chrono::seconds(5);

} // namespace

// Part of the time that prompts of Poisson distributed arrivals may take: with mean + deviations * sqrt(mean) of them
// in a gap target, they fit into it beside the tokens of one event.
double StreamEngineSizing::shareFor(
    const StreamDemand& demand, double eventSeconds, double readingSeconds, double deviations)
{
    auto gap = toSeconds(demand.gapTarget);
    auto fitting = std::max(0.0, gap - eventSeconds) / readingSeconds;
    auto root = (std::sqrt(deviations * deviations + 4 * fitting) - deviations) / 2;
    return root * root * demand.meanReading / gap;
}

double StreamEngineSizing::readingShare(const StreamDemand& demand)
{
    if (demand.gapTarget <= Duration(0) || demand.meanReading <= 0) {
        return 1;
    }
    auto slow = std::max(demand.slowEventSeconds, demand.eventSeconds);
    auto slowness = demand.eventSeconds > 0 ? slow / demand.eventSeconds : 1;
    auto share = std::min(shareFor(demand, demand.eventSeconds, demand.meanReading, bunching),
        shareFor(demand, slow, demand.meanReading * slowness, bunchingOfSlow));
    return std::clamp(share, leastReadingShare, 1.0);
}

int StreamEngineSizing::wantedEngines(const StreamDemand& demand, bool othersBehind)
{
    auto byReading = demand.readingPerSecond / readingShare(demand);
    auto bySlots = demand.streams / (mostSlotsFilled * std::max(1, demand.slotsPerEngine));
    auto others = std::max(1.0, otherHeadroom * demand.otherReadingPerSecond);
    // The streams' slots come first: without them the streams would not run at all.
    auto most = othersBehind ? bySlots : std::max(bySlots, demand.usableEngines - others);
    auto wanted = static_cast<int>(std::ceil(std::min(std::max(byReading, bySlots), most)));
    return std::clamp(wanted, 1, std::max(1, demand.usableEngines / 2));
}

bool StreamEngineSizing::areOthersBehind(const StreamDemand& demand, MonotonicTime now)
{
    if (demand.isCrowded || demand.otherUnreadSeconds > behindSeconds) {
        m_othersFreeAt = now + behindDelay;
    }
    return now < m_othersFreeAt;
}

int StreamEngineSizing::update(const StreamDemand& demand, int present, MonotonicTime now)
{
    bool othersBehind = areOthersBehind(demand, now);
    auto wanted = wantedEngines(demand, othersBehind);
    if (wanted >= present || othersBehind) {
        m_lowSince = now;
        m_highestSinceLow = 0;
        return wanted;
    }
    m_highestSinceLow = std::max(m_highestSinceLow, wanted);
    if (now < m_lowSince + shrinkDelay) {
        return present;
    }
    m_lowSince = now;
    return std::exchange(m_highestSinceLow, 0);
}

} // namespace lagoonspoke
