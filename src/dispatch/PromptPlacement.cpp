#include "dispatch/PromptPlacement.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

// Limit of the unread prompt of one engine, as the time to read it. Half of the shortest common first-token target.
constexpr Duration maxUnreadTime = 250ms;
// The same limit for a prompt that is too short to delay others: it need not wait until a long prompt is read. Just
// below the shortest common first-token target, so that the prompt can meet it behind the unread ones.
constexpr Duration maxUnreadTimeOfShortPrompt = 450ms;
// Cost of reading one prompt token again, on the scale of a request's waiting time: about 2 s for a part of 13,000
// tokens.
constexpr Duration rereadCost = 150us;
// Cost of missing the target, after which a request has lost most of its value.
constexpr Duration lateCost = 2500ms;
// Cost per stream with a short gap target that a long prompt would stall.
constexpr Duration stallCost = 400ms;
// Cost of placing such a stream on another engine than a stream engine, or other work on a stream engine. Separates the
// two while both kinds of engine have room.
constexpr Duration engineMismatchCost = 300ms;
// Fraction of the gap target that one stall may take. Below one half, as a second prompt may follow at once.
constexpr double stallGapFraction = 0.4;
// A request stops waiting for its best engine when the time left to its target on another engine is this short.
constexpr Duration targetMargin = 100ms;
constexpr Duration streamEngineInterval = 1s;
// Load of the stream engines, in streams per slot, above which one is added and below which one is removed. More
// streams on an engine would slow down their tokens.
constexpr double maxStreamLoad = 0.5;
constexpr double minStreamLoad = 0.15;

} // namespace

Tokens PromptPlacement::uncachedTokens(const ServerState& state, const PlaceRequest& place)
{
    return Tokens { std::max<std::int64_t>(0, place.promptTokens.count - state.cache.cachedTokens(place).count) };
}

Duration PromptPlacement::readingTime(const ServerState& state, Tokens uncached) const
{
    return fromSeconds(static_cast<double>(uncached.count) * state.secondsPerPromptToken());
}

Tokens PromptPlacement::stallFreeTokens(const ServerState& state) const
{
    return { static_cast<std::int64_t>(
        stallGapFraction * toSeconds(m_options.shortestGapTarget) / state.secondsPerPromptToken()) };
}

bool PromptPlacement::isCandidate(
    const ServerState& state, const WaitingRequest& waiting, bool excludedAll, MonotonicTime now) const
{
    if (state.server.leaving || state.isolated) {
        return false;
    }
    // A prompt whose parts the stream engine has cached leaves little to read, but a burst of them would still stall
    // its streams.
    if (!waiting.gapSensitive && isStreamEngine(state) && state.gapSensitive > 0) {
        return false;
    }
    if (state.health.isEjected()) {
        return state.health.isProbeDue(now) && waiting.place.idempotent;
    }
    return excludedAll || !std::ranges::count(waiting.place.excluded, state.server.id);
}

bool PromptPlacement::canStartNow(
    const ServerState& state, const WaitingRequest& waiting, Tokens uncached, MonotonicTime now) const
{
    if (state.declinedSince(now - m_options.declinedBackoff) || state.cache.isBeingRead(waiting.place, now)) {
        return false;
    }
    if (state.pendingWork <= 0) {
        return true;
    }
    double work = state.pendingWork + static_cast<double>(uncached.count);
    if (isStreamEngine(state) && state.gapSensitive > 0) {
        return work <= static_cast<double>(stallFreeTokens(state).count);
    }
    auto limit = uncached <= stallFreeTokens(state) ? maxUnreadTimeOfShortPrompt : maxUnreadTime;
    return work * state.secondsPerPromptToken() <= toSeconds(limit);
}

PromptPlacement::Choice PromptPlacement::assess(
    ServerState& state, const WaitingRequest& waiting, MonotonicTime now) const
{
    auto uncached = uncachedTokens(state, waiting.place);
    bool isPromisedHere = waiting.promisedRun == m_schedulerRun && waiting.promisedServer == &state;
    auto queuedPromptWork
        = state.pendingWork + state.promisedWork - (isPromisedHere ? static_cast<double>(uncached.count) : 0);
    auto unread = Tokens { static_cast<std::int64_t>(std::max(0.0, queuedPromptWork)) };
    auto time = readingTime(state, uncached + unread);
    if (!state.awaitingFirstByte.empty()) {
        // A request that still waits for its first byte reveals a slowdown before any response arrives.
        time = std::max(time, now - *state.awaitingFirstByte.begin());
    }
    auto own = waiting.place.prefixTokens.empty() ? Tokens() : waiting.place.prefixTokens.back();
    auto reread = std::max<std::int64_t>(0, uncached.count - own.count);
    auto cost = time + rereadCost * reread;
    if (now + time > waiting.target && !waiting.late) {
        cost += lateCost;
    }
    if (uncached > stallFreeTokens(state)) {
        cost += stallCost * state.gapSensitive;
    }
    if (isStreamEngine(state) != waiting.gapSensitive) {
        cost += engineMismatchCost;
    }
    if (!waiting.dataCentre.empty() && waiting.dataCentre != state.server.dataCentre) {
        cost += m_options.crossDataCentreCost;
    }
    return { !state.health.isEjected(), state.health.failures(), cost, time, &state, uncached,
        canStartNow(state, waiting, uncached, now) };
}

ServerState* PromptPlacement::choose(const WaitingRequest& waiting, bool excludedAll, MonotonicTime now)
{
    adjustStreamEngines(now);
    Choice best;
    Choice free; // the best one that can start the request now
    auto rank = [](const Choice& it) { return std::tuple(it.probe, it.failures, it.cost); };
    for (auto& [id, state] : m_pool.servers()) {
        // It is unknown when a slot will become free, so no request waits for one while other servers have free slots.
        if (!state.hasFreeSlot() || !isCandidate(state, waiting, excludedAll, now)) {
            continue;
        }
        auto choice = assess(state, waiting, now);
        if (!best.server || rank(choice) < rank(best)) {
            best = choice;
        }
        bool stalls = state.gapSensitive > 0 && choice.uncached > stallFreeTokens(state);
        if (choice.canStartNow && !stalls && (!free.server || rank(choice) < rank(free))) {
            free = choice;
        }
    }
    // A request waits for its best engine only as long as another one could still meet its target afterwards.
    if (best.server && !best.canStartNow && free.server && now + free.time + targetMargin >= waiting.target) {
        return free.server;
    }
    if (best.server && !best.canStartNow && waiting.promisedRun != m_schedulerRun) {
        waiting.promisedRun = m_schedulerRun;
        waiting.promisedServer = best.server;
        best.server->promisedWork += static_cast<double>(best.uncached.count);
    }
    return best.canStartNow ? best.server : nullptr;
}

void PromptPlacement::beginSchedulerRun()
{
    ++m_schedulerRun;
    for (auto& [id, state] : m_pool.servers()) {
        state.promisedWork = 0;
    }
}

// Keeps existing stream engines as long as possible.
void PromptPlacement::adjustStreamEngines(MonotonicTime now)
{
    if (now < m_streamEnginesAdjustedAt + streamEngineInterval && !m_streamEngines.empty()) {
        return;
    }
    m_streamEnginesAdjustedAt = now;
    std::erase_if(m_streamEngines, [&](const BackendServerId& id) {
        auto* state = m_pool.find(id);
        return !state || !m_pool.isUsable(*state);
    });
    int streams = 0;
    int slots = 0;
    std::vector<const ServerState*> others;
    for (const auto& [id, state] : m_pool.servers()) {
        streams += state.gapSensitive;
        slots += m_streamEngines.contains(id) ? state.usableSlots : 0;
        if (m_pool.isUsable(state) && !m_streamEngines.contains(id)) {
            others.push_back(&state);
        }
    }
    if (m_streamEngines.size() > 1 && streams < minStreamLoad * slots) {
        m_streamEngines.erase(std::prev(m_streamEngines.end()));
        return;
    }
    // Prefers servers that the platform does not evict, that already run many such streams, and that have few cached
    // prompt parts to lose.
    std::ranges::sort(others, {},
        [](const ServerState* it) { return std::tuple(it->server.cheap, -it->gapSensitive, it->cache.size().count); });
    auto next = others.begin();
    // Uses at most half of the engines.
    while (std::ranges::distance(next, others.end()) > static_cast<std::ptrdiff_t>(m_streamEngines.size()) + 1
        && (m_streamEngines.empty() || streams > maxStreamLoad * slots)) {
        slots += (*next)->usableSlots;
        m_streamEngines.insert((*next)->server.id);
        ++next;
    }
}

} // namespace lagoonspoke
