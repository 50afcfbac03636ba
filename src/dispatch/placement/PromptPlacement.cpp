#include "dispatch/placement/PromptPlacement.h"

#include <algorithm>
#include <tuple>

#include "dispatch/servers/ReadingCost.h"

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

// Limit of the unread prompt of one engine, as the time to read it. Half of the shortest common first-token target.
constexpr Duration maxUnreadTime = 250ms;
// The same limit for a prompt that is too short to delay others: it need not wait until a long prompt is read. Just
// below the shortest common first-token target, so that the prompt can meet it behind the unread ones.
constexpr Duration maxUnreadTimeOfShortPrompt = 450ms;
// Cost of reading one prompt token again, on the scale of a request's waiting time: 2.6 s for a part of 13,000 tokens.
// Reading it delays every other request on the engine besides.
constexpr Duration rereadCost = 200us;
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
// A request that is late already waits for its best engine until this long after its target, and this long before its
// latest start.
constexpr Duration maxLateWait = 3s;
constexpr Duration lateStartMargin = 1s;
// Stands for the prompts of an engine without any, so that idle engines are ranked by their requests.
constexpr double idleReadingSeconds = 0.001;
// Engines of each kind that a decision looks at besides the homes of its part.
constexpr int rankedCandidates = 4;
// Part of the slots that is free at least when there is no need to wait for the slot of a certain engine.
constexpr double crowdedFreeFraction = 0.5;
constexpr Duration streamEngineInterval = 1s;
// Load of the stream engines, in streams per slot, above which one is added, and below which one is removed. Slots that
// they do not use are lost for all other requests.
constexpr double maxStreamLoad = 0.65;
constexpr double minStreamLoad = 0.4;
// Bursts last for some seconds.
constexpr double readingAverageSeconds = 2;
// Of the engines' token rates: what an engine reaches that reads no prompts, and a slow one. The rates of single
// engines also contain the streams' stalls.
constexpr double fastQuantile = 0.9;
constexpr double slowQuantile = 0.1;
constexpr double mostSlowness = 2.5;

} // namespace

Tokens PromptPlacement::uncachedTokens(const ServerState& state, const PlaceRequest& place)
{
    return Tokens { std::max<std::int64_t>(0, place.promptTokens.count - state.cache.cachedTokens(place).count) };
}

Duration PromptPlacement::readingTime(const ServerState& state, Tokens uncached) const
{
    return fromSeconds(static_cast<double>(uncached.count) * state.secondsPerPromptToken()
        * loadFactor(state.inFlight, state.server.slots));
}

Duration PromptPlacement::slotWait(ServerState& state, MonotonicTime now) const
{
    if (state.hasFreeSlot()) {
        return Duration(0);
    }
    if (state.limitReached) {
        return state.waitForLimits(state.promisedSlots, now);
    }
    return m_meanSlotTime * (state.promisedSlots + 1) / std::max(1, state.usableSlots);
}

Tokens PromptPlacement::stallFreeTokens(const ServerState& state) const
{
    return { static_cast<std::int64_t>(
        stallGapFraction * toSeconds(m_options.shortestGapTarget) / state.secondsPerPromptToken()) };
}

bool PromptPlacement::isCandidate(
    const ServerState& state, const WaitingRequest& waiting, bool excludedAll, MonotonicTime now) const
{
    if (!state.server.isOpen() || state.isolated || !fitsVersion(state.server, waiting.place.softwareVersion)) {
        return false;
    }
    // A prompt whose parts the stream engine has cached leaves little to read, but a burst of them would still stall
    // its streams.
    if (!waiting.gapSensitive && isStreamEngine(state) && state.gapSensitive > 0) {
        return false;
    }
    if (state.health.isEjected()) {
        return state.isProbeDue(now) && waiting.place.idempotent;
    }
    return excludedAll || !std::ranges::count(waiting.place.excluded, state.server.id);
}

bool PromptPlacement::canStartNow(
    const ServerState& state, const WaitingRequest& waiting, Tokens uncached, MonotonicTime now) const
{
    if (!state.hasFreeSlot() || state.declinedSince(now - m_options.declinedBackoff)
        || state.cache.isBeingRead(waiting.place, now)) {
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
    ServerState& state, const WaitingRequest& waiting, std::size_t homeRank, MonotonicTime now) const
{
    auto uncached = uncachedTokens(state, waiting.place);
    bool isPromisedHere = waiting.promisedRun == m_schedulerRun && waiting.promisedServer == &state;
    auto queuedPromptWork
        = state.pendingWork + state.promisedWork - (isPromisedHere ? static_cast<double>(uncached.count) : 0);
    auto unread = Tokens { static_cast<std::int64_t>(std::max(0.0, queuedPromptWork)) };
    auto time = readingTime(state, uncached + unread) + slotWait(state, now);
    if (!state.awaitingFirstByte.empty()) {
        // A request that still waits for its first byte reveals a slowdown before any response arrives.
        time = std::max(time, now - *state.awaitingFirstByte.begin());
    }
    auto own = waiting.place.prefixTokens.empty() ? Tokens() : waiting.place.prefixTokens.back();
    auto reread = std::max<std::int64_t>(0, uncached.count - own.count);
    auto cost = time + rereadCost * reread;
    // A part that has to be read is read at its first homes, where later requests for it go too.
    cost += rereadCost * reread * homeRank / PartHomes::homesPerPart;
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

void PromptPlacement::consider(
    Choices& choices, ServerState& state, const WaitingRequest& waiting, std::size_t homeRank, MonotonicTime now) const
{
    auto choice = assess(state, waiting, homeRank, now);
    auto rank = [](const Choice& it) { return std::tuple(it.probe, it.failures, it.cost); };
    auto& [best, free] = choices;
    if (!best.server || rank(choice) < rank(best)) {
        best = choice;
    }
    bool stalls = state.gapSensitive > 0 && choice.uncached > stallFreeTokens(state);
    if (choice.canStartNow && !stalls && (!free.server || rank(choice) < rank(free))) {
        free = choice;
    }
}

void PromptPlacement::considerHomes(
    Choices& choices, const WaitingRequest& waiting, bool excludedAll, MonotonicTime now)
{
    const auto& parts = waiting.place.prefix;
    if (parts.size() < 2) {
        return; // the last part is the request's own
    }
    const auto& homes = m_homes.find(parts[parts.size() - 2], m_pool);
    for (std::size_t i = 0; i < homes.size(); ++i) {
        auto& state = *homes[i];
        // No request waits for an engine without its parts, or for a slot while there are plenty of others.
        bool hasParts = uncachedTokens(state, waiting.place) < waiting.place.promptTokens;
        bool mayWait = hasParts && (m_isCrowded || state.limitReached);
        if ((state.hasFreeSlot() || mayWait) && isCandidate(state, waiting, excludedAll, now)) {
            consider(choices, state, waiting, i, now);
        }
    }
}

void PromptPlacement::considerLeastLoaded(
    Choices& choices, const WaitingRequest& waiting, bool excludedAll, MonotonicTime now)
{
    for (auto& ranking : m_rankings) {
        const auto& engines = ranking.engines;
        while (ranking.firstFree < engines.size() && !engines[ranking.firstFree].second->hasFreeSlot()) {
            ++ranking.firstFree;
        }
        int candidates = 0;
        for (auto i = ranking.firstFree; i < engines.size() && candidates < rankedCandidates; ++i) {
            auto& state = *engines[i].second;
            if (state.hasFreeSlot() && isCandidate(state, waiting, excludedAll, now)) {
                consider(choices, state, waiting, PartHomes::homesPerPart, now);
                ++candidates;
            }
        }
    }
}

ServerState* PromptPlacement::choose(const WaitingRequest& waiting, bool excludedAll, MonotonicTime now)
{
    adjustStreamEngines(now);
    rankEngines(now);
    Choices choices;
    considerHomes(choices, waiting, excludedAll, now);
    considerLeastLoaded(choices, waiting, excludedAll, now);
    const auto& [best, free] = choices;
    if (!best.server || best.canStartNow) {
        return best.server;
    }
    // A request waits for its best engine only as long as another one could still meet its target afterwards, or, when
    // it is late, for a limited time.
    auto latest = waiting.late ? std::min(waiting.target + maxLateWait, waiting.latestStart - lateStartMargin)
                               : waiting.target - free.time - targetMargin;
    if (free.server && now >= latest) {
        return free.server;
    }
    promise(waiting, best);
    return nullptr;
}

void PromptPlacement::promise(const WaitingRequest& waiting, const Choice& best)
{
    if (waiting.promisedRun == m_schedulerRun) {
        return;
    }
    waiting.promisedRun = m_schedulerRun;
    waiting.promisedServer = best.server;
    best.server->promisedWork += static_cast<double>(best.uncached.count);
    ++best.server->promisedSlots;
}

void PromptPlacement::beginSchedulerRun(Duration meanSlotTime)
{
    ++m_schedulerRun;
    m_meanSlotTime = meanSlotTime;
}

double PromptPlacement::loadOf(const ServerState& state)
{
    // Engines that are due for a probe come first; otherwise they would never be chosen under light load.
    if (state.health.isEjected()) {
        return -1;
    }
    auto factor = loadFactor(state.inFlight, state.server.slots);
    return (state.pendingWork * state.secondsPerPromptToken() + idleReadingSeconds) * factor;
}

void PromptPlacement::rankEngines(MonotonicTime now)
{
    if (m_rankedRun == m_schedulerRun) {
        return;
    }
    m_rankedRun = m_schedulerRun;
    for (auto& ranking : m_rankings) {
        ranking.engines.clear();
        ranking.firstFree = 0;
    }
    int slots = 0;
    int free = 0;
    for (auto& [id, state] : m_pool.servers()) {
        state.promisedWork = 0;
        state.promisedSlots = 0;
        if (!state.server.isOpen() || state.isolated || (state.health.isEjected() && !state.isProbeDue(now))) {
            continue;
        }
        slots += state.usableSlots;
        free += std::max(0, state.usableSlots - state.inFlight);
        m_rankings.at(isStreamEngine(state) ? 1 : 0).engines.emplace_back(loadOf(state), &state);
    }
    m_isCrowded = free < crowdedFreeFraction * slots;
    for (auto& ranking : m_rankings) {
        std::ranges::stable_sort(ranking.engines, {}, &std::pair<double, ServerState*>::first);
    }
}

void PromptPlacement::recordGrant(const ServerState& state, Duration reading, bool gapSensitive, MonotonicTime)
{
    auto& rate = gapSensitive ? m_streamReading : m_otherReading;
    rate.seconds += toSeconds(reading);
    ++rate.prompts;
    if (m_rankedRun != m_schedulerRun) {
        return;
    }
    auto& engines = m_rankings.at(isStreamEngine(state) ? 1 : 0).engines;
    auto it = std::ranges::find(engines, &state, &std::pair<double, ServerState*>::second);
    if (it == engines.end()) {
        return;
    }
    // The others keep their order, so only this one moves.
    it->first = loadOf(state);
    auto position
        = std::ranges::upper_bound(it + 1, engines.end(), it->first, {}, &std::pair<double, ServerState*>::first);
    std::rotate(it, it + 1, position);
}

std::vector<const ServerState*> PromptPlacement::rankForRemoval() const
{
    std::vector<const ServerState*> engines;
    for (const auto& id : m_streamEngines) {
        engines.push_back(m_pool.find(id));
    }
    std::ranges::stable_sort(
        engines, {}, [](const ServerState* it) { return std::pair(!it->server.cheap, it->gapSensitive); });
    return engines;
}

void PromptPlacement::removeStreamEngines(int wanted)
{
    for (const auto* engine : rankForRemoval()) {
        if (static_cast<int>(m_streamEngines.size()) <= wanted) {
            return;
        }
        m_streamEngines.erase(engine->server.id);
    }
}

void PromptPlacement::ReadingRate::average(double elapsed)
{
    auto newest = std::min(1.0, elapsed / readingAverageSeconds);
    perSecond += newest * (seconds / elapsed - perSecond);
    if (prompts > 0) {
        perPrompt += (perPrompt > 0 ? newest : 1) * (seconds / prompts - perPrompt);
    }
    seconds = 0;
    prompts = 0;
}

StreamDemand PromptPlacement::measureDemand(int streams, MonotonicTime now)
{
    auto elapsed = std::clamp(toSeconds(now - m_streamEnginesAdjustedAt), toSeconds(streamEngineInterval), 60.0);
    m_streamReading.average(elapsed);
    m_otherReading.average(elapsed);
    StreamDemand demand;
    demand.gapTarget = m_options.shortestGapTarget;
    demand.readingPerSecond = m_streamReading.perSecond;
    demand.meanReading = m_streamReading.perPrompt;
    demand.otherReadingPerSecond = m_otherReading.perSecond;
    demand.streams = streams;
    demand.isCrowded = m_isCrowded;
    std::vector<double> rates;
    int others = 0;
    for (const auto& [id, state] : m_pool.servers()) {
        if (m_pool.isUsable(state) && !isStreamEngine(state)) {
            ++others;
            demand.otherUnreadSeconds += state.pendingWork * state.secondsPerPromptToken();
        }
        if (m_pool.isUsable(state)) {
            ++demand.usableEngines;
            demand.slotsPerEngine = std::max(demand.slotsPerEngine, state.usableSlots);
        }
        if (state.tokenRate() && *state.tokenRate() > 0) {
            rates.push_back(*state.tokenRate());
        }
    }
    demand.otherUnreadSeconds /= std::max(1, others);
    if (!rates.empty()) {
        // Entries count the events of a stream.
        std::ranges::sort(rates);
        auto last = static_cast<double>(rates.size() - 1);
        demand.eventSeconds = 1 / rates[static_cast<std::size_t>(last * fastQuantile)];
        demand.slowEventSeconds
            = std::min(1 / rates[static_cast<std::size_t>(last * slowQuantile)], mostSlowness * demand.eventSeconds);
    }
    return demand;
}

int PromptPlacement::sizeStreamEngines(int streams, MonotonicTime now)
{
    return m_sizing.update(measureDemand(streams, now), static_cast<int>(m_streamEngines.size()), now);
}

void PromptPlacement::removeStreamEngines(int streams, int slots)
{
    for (const auto* engine : rankForRemoval()) {
        slots -= engine->usableSlots;
        if (m_streamEngines.size() == 1 || streams > maxStreamLoad * slots) {
            return;
        }
        m_streamEngines.erase(engine->server.id);
    }
}

// Keeps existing stream engines as long as possible.
void PromptPlacement::adjustStreamEngines(MonotonicTime now)
{
    if (now < m_streamEnginesAdjustedAt + streamEngineInterval && !m_streamEngines.empty()) {
        return;
    }
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
    bool bySize = StreamEngineSizing::appliesTo(m_options.shortestGapTarget, m_options.tokensPerEvent);
    auto wanted = bySize ? sizeStreamEngines(streams, now) : 0;
    m_streamEnginesAdjustedAt = now;
    if (bySize && static_cast<int>(m_streamEngines.size()) > wanted) {
        removeStreamEngines(wanted);
        return;
    }
    if (!bySize && m_streamEngines.size() > 1 && streams < minStreamLoad * slots) {
        removeStreamEngines(streams, slots);
        return;
    }
    auto needsMore = [&] {
        return m_streamEngines.empty()
            || (bySize ? static_cast<int>(m_streamEngines.size()) < wanted : streams > maxStreamLoad * slots);
    };
    // Prefers servers that the platform does not evict, that already run many such streams, and that have few cached
    // prompt parts to lose.
    std::ranges::sort(others, {},
        [](const ServerState* it) { return std::tuple(it->server.cheap, -it->gapSensitive, it->cache.size().count); });
    auto next = others.begin();
    // Uses at most half of the engines.
    while (std::ranges::distance(next, others.end()) > static_cast<std::ptrdiff_t>(m_streamEngines.size()) + 1
        && needsMore()) {
        slots += (*next)->usableSlots;
        m_streamEngines.insert((*next)->server.id);
        ++next;
    }
}

} // namespace lagoonspoke
