#include "tools/load/ArrivalPlan.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace lagoonspoke {

namespace {

// Standard engines give the same numbers for a seed on every build, which Abseil's deliberately do not. The standard's
// distributions are the same for one standard library only.
using Random = std::mt19937_64;

double drawLogNormal(const LogNormal& distribution, Random& random)
{
    return std::lognormal_distribution<double>(std::log(distribution.median), distribution.sigma)(random);
}

double rateAt(const StreamLoad& stream, Duration at)
{
    bool bursting = stream.burst && at >= stream.burst->start && at < stream.burst->end;
    return stream.requestsPerSecond * (bursting ? stream.burst->factor : 1);
}

Arrival drawArrival(const StreamLoad& stream, Random& random)
{
    Arrival arrival;
    std::vector<double> weights;
    for (const auto& team : stream.teams) {
        weights.push_back(team.weight);
    }
    arrival.team = std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random);
    arrival.promptBytes = static_cast<int>(std::max(1.0, drawLogNormal(stream.promptBytes, random)));
    arrival.outputTokens = static_cast<std::int64_t>(std::max(1.0, drawLogNormal(stream.outputTokens, random)));
    if (stream.sharedPrefixes > 0) {
        arrival.prefix = std::uniform_int_distribution<int>(0, stream.sharedPrefixes - 1)(random);
    }
    return arrival;
}

// Thinning: draws at the highest rate and keeps each arrival with the ratio of the rate at that time.
void planStream(const Profile& profile, std::size_t index, std::uint64_t seed, std::vector<Arrival>& plan)
{
    const auto& stream = profile.streams[index];
    Random random(seed * 1000 + index);
    auto highest = stream.requestsPerSecond * std::max(1.0, stream.burst ? stream.burst->factor : 1.0);
    std::exponential_distribution<double> gap(highest);
    std::uniform_real_distribution<double> chance(0, 1);
    for (auto at = fromSeconds(gap(random)); at < profile.duration; at += fromSeconds(gap(random))) {
        auto arrival = drawArrival(stream, random);
        if (chance(random) * highest < rateAt(stream, at)) {
            arrival.at = at;
            arrival.stream = index;
            plan.push_back(arrival);
        }
    }
}

} // namespace

std::vector<Arrival> planArrivals(const Profile& profile, std::uint64_t seed)
{
    std::vector<Arrival> plan;
    for (std::size_t i = 0; i < profile.streams.size(); ++i) {
        planStream(profile, i, seed, plan);
    }
    std::ranges::stable_sort(plan, {}, &Arrival::at);
    return plan;
}

} // namespace lagoonspoke
