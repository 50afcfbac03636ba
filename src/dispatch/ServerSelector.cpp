#include "dispatch/ServerSelector.h"

#include <algorithm>
#include <tuple>

namespace lagoonspoke {

namespace {

// Fixed cost of a request in prompt tokens: connection, tokenisation and the first decode step.
constexpr double fixedWork = 64;
// A slow server without work is tried with one request at the first pace, to see whether it recovered; only with a
// request that has time, unless none came for the second.
constexpr Duration slowTrialPause = std::chrono::seconds(5);
constexpr Duration longestTrialPause = std::chrono::seconds(30);
// Suspect requests may keep at most this part of the servers from the others, and one in any case.
constexpr std::size_t isolationDivisor = 4;

} // namespace

double ServerSelector::promptWork(std::int64_t uncachedTokens)
{
    return static_cast<double>(uncachedTokens) + fixedWork;
}

double ServerSelector::loadFactor(int inFlight, int slots)
{
    return 1.0 + static_cast<double>(inFlight) / std::max(1, slots);
}

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
    // Prompts that the server still works on delay this one.
    double work = promptWork(uncachedTokens(state, waiting.place)) + state.pendingWork;
    double seconds = work * state.secondsPerPromptToken() * loadFactor(state.inFlight, state.server.slots);
    auto time = fromSeconds(seconds);
    if (!state.awaitingFirstByte.empty() && m_options.useMeasuredRate) {
        // A request that still waits for its first byte shows a slowdown before any response can.
        time = std::max(time, now - *state.awaitingFirstByte.begin());
    }
    bool elsewhere = !waiting.dataCentre.empty() && waiting.dataCentre != state.server.dataCentre;
    return elsewhere && m_options.preferDataCentre ? time + m_options.crossDataCentreCost : time;
}

Duration ServerSelector::predictIdle(const WaitingRequest& waiting) const
{
    double best = -1;
    for (const auto& [id, state] : m_pool.servers()) {
        double seconds = promptWork(uncachedTokens(state, waiting.place)) * state.secondsPerPromptToken();
        if (!state.server.leaving && (best < 0 || seconds < best)) {
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
    if (state.server.leaving || state.isolated) {
        return false;
    }
    if (state.health.isEjected()) {
        return state.health.wantsProbe(now) && waiting.place.idempotent;
    }
    if (!state.hasFreeSlot() || state.declinedSince(now - m_options.declinedBackoff)) {
        return false;
    }
    if (!state.slow) {
        return true;
    }
    auto idle = now - state.lastSlowTrial;
    bool hasTime = waiting.target - now > slowTrialPause;
    return state.inFlight == 0 && (idle > longestTrialPause || (hasTime && idle > slowTrialPause));
}

ServerState* ServerSelector::choose(const WaitingRequest& waiting, MonotonicTime now)
{
    ServerState* best = nullptr;
    std::tuple<bool, int, Duration> bestRank;
    bool excludedAll = std::ranges::all_of(m_pool.servers(),
        [&](const auto& it) { return !m_pool.isUsable(it.second) || isExcluded(it.second, waiting.place); });
    if (!waiting.place.prefixTokens.empty()) {
        return m_prompts.choose(waiting, excludedAll, now);
    }
    for (auto& [id, state] : m_pool.servers()) {
        if (!mayUse(state, waiting, now) || (!excludedAll && isExcluded(state, waiting.place))) {
            continue;
        }
        // A probe of an ejected server comes first, or it would never happen under light load.
        std::tuple rank { !state.health.isEjected(), state.health.failures(), predict(state, waiting, now) };
        if (!best || rank < bestRank) {
            best = &state;
            bestRank = rank;
        }
    }
    return best;
}

ServerState* ServerSelector::chooseAlone(const WaitingRequest& waiting, MonotonicTime now)
{
    std::size_t isolated = 0;
    ServerState* least = nullptr;
    for (auto& [id, state] : m_pool.servers()) {
        // A server that comes back after its death is empty, and a suspect request is a probe like any other.
        bool away = state.health.isEjected() && !(state.health.wantsProbe(now) && waiting.place.idempotent);
        if (state.server.leaving || away) {
            continue;
        }
        isolated += state.isolated ? 1 : 0;
        if (state.inFlight == 0 && !(isExcluded(state, waiting.place) && m_pool.servers().size() > 1)) {
            return &state;
        }
        if (!state.isolated && (!least || state.inFlight < least->inFlight)) {
            least = &state;
        }
    }
    if (least && isolated < std::max<std::size_t>(1, m_pool.servers().size() / isolationDivisor)) {
        least->isolated = true;
    }
    return nullptr;
}

} // namespace lagoonspoke
