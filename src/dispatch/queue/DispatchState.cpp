#include "dispatch/queue/DispatchState.h"

#include <algorithm>

namespace lagoonspoke {

namespace {

// Lower limit of the fraction of the service rate that is left to a tier in predictions, however much load higher tiers
// have: the tier still gets its guaranteed share.
constexpr double minRateFraction = 0.02;

} // namespace

DispatchState::DispatchState(const DispatchOptions& given)
    : options(given)
    , pool(options)
    , selector(pool, options)
    , quarantine(options.shortestQuarantine, options.longestQuarantine)
    , partQuarantine(options.shortestQuarantine, options.longestQuarantine)
    , retryBudget(options.retryBudget)
    , floors(options.floorLifetime)
{
}

const TeamSpec* DispatchState::findTeam(const TeamId& team) const
{
    return snapshot ? snapshot->findTeam(team) : nullptr;
}

double DispatchState::weightOf(const TeamId& id) const
{
    const auto* team = findTeam(id);
    return team && team->weight > 0 ? team->weight : 1;
}

ClassSpec DispatchState::classOf(const PlaceRequest& place) const
{
    const auto* spec = snapshot ? snapshot->findClass(place.className) : nullptr;
    return spec ? *spec : ClassSpec {};
}

std::optional<Duration> DispatchState::remainingQuarantine(const PlaceRequest& place, MonotonicTime now) const
{
    if (!options.useQuarantine) {
        return std::nullopt;
    }
    return std::max(
        quarantine.remainingQuarantine(place.fingerprint, now), partQuarantine.remainingQuarantine(place.parts, now));
}

bool DispatchState::hasSuspectPart(const PlaceRequest& place, MonotonicTime now) const
{
    return std::ranges::any_of(place.parts, [&](Fingerprint it) { return partQuarantine.isSuspect(it, now); });
}

WaitingPtr DispatchState::removeWaiting(const RequestId& request)
{
    for (auto& [tier, queue] : queues) {
        if (auto waiting = queue.remove(request)) {
            return waiting;
        }
    }
    auto it = std::ranges::find_if(suspects, [&](const auto& entry) { return entry->place.request == request; });
    if (it == suspects.end()) {
        return nullptr;
    }
    auto waiting = std::move(*it);
    suspects.erase(it);
    return waiting;
}

bool DispatchState::isWaiting(const RequestId& request) const
{
    return std::ranges::any_of(queues, [&](const auto& it) { return it.second.contains(request); })
        || std::ranges::any_of(suspects, [&](const auto& it) { return it->place.request == request; });
}

void DispatchState::refuse(const WaitingRequest& waiting, RefusalCode code, Duration retryAfter)
{
    ++counters.refusals.at(static_cast<std::size_t>(code));
    auto queue = queues.find(waiting.place.tier);
    RefusalInputs inputs { waiting.place.tier, waiting.place.attempt, waiting.queued, waiting.latestStart,
        queue == queues.end() ? 0 : queue->second.size(), pool.servers().size(), pool.unreadTokens() };
    actions.emplace_back(SendToEntry { waiting.entry, Refusal { waiting.place.request, code, retryAfter }, inputs });
}

void DispatchState::drop(const RequestId& request, RefusalCode code, Duration retryAfter)
{
    if (auto waiting = removeWaiting(request)) {
        limiter.leave(waiting->place.team);
        // Refunds the tokens that were charged to the team's token limit when the request was accepted.
        limiter.adjustTokens(waiting->place.team, -waiting->cost, waiting->queued);
        refuse(*waiting, code, retryAfter);
    }
}

void DispatchState::freeSlot(const GrantedRequest& granted)
{
    auto* state = granted.holdsSlot ? pool.find(granted.server) : nullptr;
    if (!state) {
        return;
    }
    state->inFlight = std::max(0, state->inFlight - 1);
    state->gapSensitive = std::max(0, state->gapSensitive - (granted.gapSensitive ? 1 : 0));
    if (!granted.firstByteSeen) {
        state->removeAwaitingFirstByte(granted.grantedAt, granted.promptWork);
    }
    if (granted.runsIsolated) {
        state->isolated = state->runsSuspect = false;
    }
}

double DispatchState::predictedWait(Tier tier, MonotonicTime now)
{
    auto slotSeconds = [&](const auto& key) { return times.meanSlotSecondsOf(key); };
    auto slots = pool.expectedSlots();
    auto waitForSlot = predictedWaitFor(tier, 0, slots > 0 ? slots : 1, slotSeconds, now);
    if (!pool.hasPromptEngines()) {
        return waitForSlot;
    }
    // Engines with known prompts may lack either the time to read the prompts or the slots to answer them.
    auto promptWork = [&](const auto& key) { return times.meanPromptWorkOf(key); };
    auto rate = std::max(1.0, pool.tokensReadPerSecond());
    return std::max(waitForSlot, predictedWaitFor(tier, pool.unreadTokens(), rate, promptWork, now));
}

double DispatchState::predictedWaitFor(Tier tier, double work, double rate, const auto& workOf, MonotonicTime now)
{
    double higherLoad = 0;
    for (const auto& [level, queue] : queues) {
        if (tier.isHigherThan(level)) {
            break;
        }
        for (const auto& [className, count] : queue.classes()) {
            work += static_cast<double>(count) * workOf(className);
        }
        if (level.isHigherThan(tier)) {
            higherLoad += shares.arrivalsPerSecond(level, now) * workOf(level);
        }
    }
    return work / std::max(rate * minRateFraction, rate - higherLoad);
}

} // namespace lagoonspoke
