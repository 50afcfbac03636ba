#include "dispatch/PromptPlacement.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

// Unread prompt that an engine may have, as the time to read it. Half of the shortest common target of a first token.
constexpr Duration unreadBound = 250ms;
// The same for a prompt that is short enough to delay nobody: it need not wait until a long one is read. It leaves a
// common target time for what is unread before it.
constexpr Duration unreadBoundOfShort = 450ms;
// What reading one prompt token again costs, next to a request's own waiting: a part of 13,000 tokens about 2 s.
constexpr Duration rereadCost = 150us;
// A request that misses its target has lost most of its worth.
constexpr Duration lateCost = 2500ms;
// For each stream with a short gap target that a long prompt would stall.
constexpr Duration stallCost = 400ms;
// Keeps such streams on the lanes and other work off them while both have room.
constexpr Duration laneCost = 300ms;
// Part of the gap target that one stall may take; a second prompt may follow at once.
constexpr double quietPart = 0.4;
// Left between the end of such a wait and the target.
constexpr Duration patience = 100ms;
constexpr Duration laneInterval = 1s;
// Streams of a lane, as a part of its slots; more would slow their tokens.
constexpr double fullLane = 0.5;
constexpr double emptyLane = 0.15;

} // namespace

Tokens PromptPlacement::uncachedTokens(const ServerState& state, const PlaceRequest& place)
{
    return Tokens { std::max<std::int64_t>(0, place.promptTokens.count - state.cache.cachedTokens(place).count) };
}

Duration PromptPlacement::readingTime(const ServerState& state, Tokens uncached) const
{
    return fromSeconds(static_cast<double>(uncached.count) * state.secondsPerPromptToken());
}

Tokens PromptPlacement::quietTokens(const ServerState& state) const
{
    return { static_cast<std::int64_t>(
        quietPart * toSeconds(m_options.shortestGapTarget) / state.secondsPerPromptToken()) };
}

bool PromptPlacement::isCandidate(
    const ServerState& state, const WaitingRequest& waiting, bool excludedAll, MonotonicTime now) const
{
    if (state.server.leaving || state.isolated) {
        return false;
    }
    // Prompts whose parts a lane has are short, but a burst of them stalls its streams all the same.
    if (!waiting.gapSensitive && isLane(state) && state.gapSensitive > 0) {
        return false;
    }
    if (state.health.isEjected()) {
        return state.health.wantsProbe(now) && waiting.place.idempotent;
    }
    return excludedAll || !std::ranges::count(waiting.place.excluded, state.server.id);
}

bool PromptPlacement::mayStart(
    const ServerState& state, const WaitingRequest& waiting, Tokens uncached, MonotonicTime now) const
{
    if (state.declinedSince(now - m_options.declinedBackoff) || state.cache.isBeingRead(waiting.place, now)) {
        return false;
    }
    if (state.pendingWork <= 0) {
        return true;
    }
    double work = state.pendingWork + static_cast<double>(uncached.count);
    if (isLane(state) && state.gapSensitive > 0) {
        return work <= static_cast<double>(quietTokens(state).count);
    }
    auto bound = uncached <= quietTokens(state) ? unreadBoundOfShort : unreadBound;
    return work * state.secondsPerPromptToken() <= toSeconds(bound);
}

PromptPlacement::Choice PromptPlacement::assess(
    ServerState& state, const WaitingRequest& waiting, MonotonicTime now) const
{
    auto uncached = uncachedTokens(state, waiting.place);
    bool promisedHere = waiting.promisedRun == m_run && waiting.promisedTo == &state;
    auto ahead = state.pendingWork + state.promisedWork - (promisedHere ? static_cast<double>(uncached.count) : 0);
    auto unread = Tokens { static_cast<std::int64_t>(std::max(0.0, ahead)) };
    auto time = readingTime(state, uncached + unread);
    if (!state.awaitingFirstByte.empty()) {
        // A request that still waits for its first byte shows a slowdown before any response can.
        time = std::max(time, now - *state.awaitingFirstByte.begin());
    }
    auto own = waiting.place.prefixTokens.empty() ? Tokens() : waiting.place.prefixTokens.back();
    auto reread = std::max<std::int64_t>(0, uncached.count - own.count);
    auto cost = time + rereadCost * reread;
    if (now + time > waiting.target && !waiting.late) {
        cost += lateCost;
    }
    if (uncached > quietTokens(state)) {
        cost += stallCost * state.gapSensitive;
    }
    if (isLane(state) != waiting.gapSensitive) {
        cost += laneCost;
    }
    if (!waiting.dataCentre.empty() && waiting.dataCentre != state.server.dataCentre) {
        cost += m_options.crossDataCentreCost;
    }
    return { !state.health.isEjected(), state.health.failures(), cost, time, &state, uncached,
        mayStart(state, waiting, uncached, now) };
}

ServerState* PromptPlacement::choose(const WaitingRequest& waiting, bool excludedAll, MonotonicTime now)
{
    adjustLanes(now);
    Choice best;
    Choice free; // the best one that may take the request now
    auto rank = [](const Choice& it) { return std::tuple(it.probe, it.failures, it.cost); };
    for (auto& [id, state] : m_pool.servers()) {
        // When a slot becomes free is not known, so nothing waits for one while others are free.
        if (!state.hasFreeSlot() || !isCandidate(state, waiting, excludedAll, now)) {
            continue;
        }
        auto choice = assess(state, waiting, now);
        if (!best.server || rank(choice) < rank(best)) {
            best = choice;
        }
        bool stalls = state.gapSensitive > 0 && choice.uncached > quietTokens(state);
        if (choice.mayStart && !stalls && (!free.server || rank(choice) < rank(free))) {
            free = choice;
        }
    }
    // A request waits for the engine that suits it while another one could still meet its target afterwards.
    if (best.server && !best.mayStart && free.server && now + free.time + patience >= waiting.target) {
        return free.server;
    }
    if (best.server && !best.mayStart && waiting.promisedRun != m_run) {
        waiting.promisedRun = m_run;
        waiting.promisedTo = best.server;
        best.server->promisedWork += static_cast<double>(best.uncached.count);
    }
    return best.mayStart ? best.server : nullptr;
}

void PromptPlacement::startRun()
{
    ++m_run;
    for (auto& [id, state] : m_pool.servers()) {
        state.promisedWork = 0;
    }
}

// A lane stays one as long as it can.
void PromptPlacement::adjustLanes(MonotonicTime now)
{
    if (now < m_lanesAdjusted + laneInterval && !m_lanes.empty()) {
        return;
    }
    m_lanesAdjusted = now;
    std::erase_if(m_lanes, [&](const BackendServerId& id) {
        auto* state = m_pool.find(id);
        return !state || !m_pool.isUsable(*state);
    });
    int streams = 0;
    int slots = 0;
    std::vector<const ServerState*> others;
    for (const auto& [id, state] : m_pool.servers()) {
        streams += state.gapSensitive;
        slots += m_lanes.contains(id) ? state.usableSlots : 0;
        if (m_pool.isUsable(state) && !m_lanes.contains(id)) {
            others.push_back(&state);
        }
    }
    if (m_lanes.size() > 1 && streams < emptyLane * slots) {
        m_lanes.erase(std::prev(m_lanes.end()));
        return;
    }
    // Those that last first, with many such streams already and few prompt parts to give up.
    std::ranges::sort(others, {},
        [](const ServerState* it) { return std::tuple(it->server.cheap, -it->gapSensitive, it->cache.size().count); });
    auto next = others.begin();
    // Half of the engines at most.
    while (std::ranges::distance(next, others.end()) > static_cast<std::ptrdiff_t>(m_lanes.size()) + 1
        && (m_lanes.empty() || streams > fullLane * slots)) {
        slots += (*next)->usableSlots;
        m_lanes.insert((*next)->server.id);
        ++next;
    }
}

} // namespace lagoonspoke
