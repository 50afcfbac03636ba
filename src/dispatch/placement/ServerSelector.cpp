#include "dispatch/placement/ServerSelector.h"

#include <algorithm>
#include <tuple>

#include "dispatch/servers/ReadingCost.h"

namespace lagoonspoke {

namespace {

// Intervals at which an idle slow server gets one trial request to detect its recovery. After the first one, only a
// request whose target is further away than that interval is used; after the second one, any request.
constexpr Duration slowTrialInterval = std::chrono::seconds(5);
constexpr Duration maxSlowTrialInterval = std::chrono::seconds(30);
// One in this many servers may be isolated for suspect requests, and always at least one.
constexpr std::size_t serversPerIsolated = 4;

} // namespace

std::int64_t ServerSelector::uncachedTokens(const ServerState& state, const PlaceRequest& place) const
{
    if (place.prefix.empty() || !m_options.usePrefixIndex) {
        return place.promptTokens.count;
    }
    if (!place.prefixTokens.empty()) {
        return PromptPlacement::uncachedTokens(state, place).count;
    }
    auto blocks = static_cast<std::int64_t>(place.prefix.size());
    auto cached = static_cast<std::int64_t>(state.prefix.cachedBlocks(place.prefix));
    return place.promptTokens.count - place.promptTokens.count * cached / blocks;
}

Duration ServerSelector::predict(const ServerState& state, const WaitingRequest& waiting, MonotonicTime now) const
{
    // Prompts that the server has yet to read delay this one.
    double work = promptWork(uncachedTokens(state, waiting.place)) + state.pendingWork;
    double seconds = work * state.secondsPerPromptToken() * loadFactor(state.inFlight, state.server.slots);
    auto time = fromSeconds(seconds);
    if (!state.awaitingFirstByte.empty() && m_options.useMeasuredRate) {
        // A request that still waits for its first byte reveals a slowdown before any response arrives.
        time = std::max(time, now - *state.awaitingFirstByte.begin());
    }
    bool isRemote = !waiting.dataCentre.empty() && waiting.dataCentre != state.server.dataCentre;
    return isRemote && m_options.preferDataCentre ? time + m_options.crossDataCentreCost : time;
}

Duration ServerSelector::predictUnloaded(const WaitingRequest& waiting) const
{
    double best = -1;
    for (const auto& [id, state] : m_pool.servers()) {
        double seconds = promptWork(uncachedTokens(state, waiting.place)) * state.secondsPerPromptToken();
        if (state.server.isOpen() && (best < 0 || seconds < best)) {
            best = seconds;
        }
    }
    return fromSeconds(std::max(0.0, best));
}

bool ServerSelector::isExcluded(const ServerState& state, const PlaceRequest& place) const
{
    return std::ranges::count(place.excluded, state.server.id) > 0;
}

bool ServerSelector::mayUse(const ServerState& state, const WaitingRequest& waiting, MonotonicTime now) const
{
    if (!state.server.isOpen() || state.isolated || !fitsVersion(state.server, waiting.place.softwareVersion)) {
        return false;
    }
    if (state.health.isEjected()) {
        return state.isProbeDue(now) && waiting.place.idempotent;
    }
    if (!state.hasFreeSlot() || state.declinedSince(now - m_options.declinedBackoff)) {
        return false;
    }
    if (!state.slow) {
        return true;
    }
    auto sinceTrial = now - state.lastSlowTrial;
    bool hasTime = waiting.target - now > slowTrialInterval;
    return state.inFlight == 0 && (sinceTrial > maxSlowTrialInterval || (hasTime && sinceTrial > slowTrialInterval));
}

ServerState* ServerSelector::choose(const WaitingRequest& waiting, MonotonicTime now)
{
    ServerState* best = nullptr;
    std::tuple<bool, int, Duration> bestRank;
    bool excludedAll = std::ranges::all_of(m_pool.servers(), [&](const auto& it) {
        return !m_pool.isUsable(it.second) || !fitsVersion(it.second.server, waiting.place.softwareVersion)
            || isExcluded(it.second, waiting.place);
    });
    if (!waiting.place.prefixTokens.empty()) {
        return m_promptPlacement.choose(waiting, excludedAll, now);
    }
    for (auto& [id, state] : m_pool.servers()) {
        if (!mayUse(state, waiting, now) || (!excludedAll && isExcluded(state, waiting.place))) {
            continue;
        }
        // Probes of ejected servers come first; otherwise they would never be chosen under light load.
        std::tuple rank { !state.health.isEjected(), state.health.failures(), predict(state, waiting, now) };
        if (!best || rank < bestRank) {
            best = &state;
            bestRank = rank;
        }
    }
    return best;
}

ServerState* ServerSelector::chooseIsolated(const WaitingRequest& waiting, MonotonicTime now)
{
    std::size_t isolated = 0;
    ServerState* leastLoaded = nullptr;
    for (auto& [id, state] : m_pool.servers()) {
        // A server that is due for a probe after its death is idle, and a suspect request can serve as the probe.
        bool isUnavailable = state.health.isEjected() && !(state.isProbeDue(now) && waiting.place.idempotent);
        if (!state.server.isOpen() || isUnavailable || !fitsVersion(state.server, waiting.place.softwareVersion)) {
            continue;
        }
        isolated += state.isolated ? 1 : 0;
        if (state.inFlight == 0 && !state.limitReached
            && !(isExcluded(state, waiting.place) && m_pool.servers().size() > 1)) {
            return &state;
        }
        if (!state.isolated && (!leastLoaded || state.inFlight < leastLoaded->inFlight)) {
            leastLoaded = &state;
        }
    }
    if (leastLoaded && isolated < std::max<std::size_t>(1, m_pool.servers().size() / serversPerIsolated)) {
        leastLoaded->isolated = true;
    }
    return nullptr;
}

} // namespace lagoonspoke
