#include "dispatch/servers/ServerPool.h"

#include <algorithm>
#include <cmath>

#include "dispatch/servers/ReadingCost.h"

namespace lagoonspoke {

namespace {

// Fraction of the median token rate below which a server counts as slow. On equal engines, requests of different
// lengths make the rates differ by a factor of two.
constexpr double slowRateFraction = 0.4;
// Assumed until an engine was measured: 40,000 prompt tokens per second, typical of common engines. With too low a
// rate, a new dispatcher would hold back requests that it could place.
constexpr double assumedSecondsPerPromptToken = 1.0 / 40000;
// A server is late when it takes this multiple of the time that a healthy one takes. Times of single answers differ by
// a factor of two on equal servers.
constexpr double lateFactor = 2.5;
// Part of its slots that a server gets at least while most servers are paced.
constexpr double scarcePart = 0.25;

} // namespace

void ServerPool::replace(const std::vector<BackendServer>& descriptions, MonotonicTime now)
{
    // A new dispatcher cannot tell which servers have just started.
    bool isFirst = m_servers.empty();
    std::map<BackendServerId, ServerState> servers;
    for (const auto& server : descriptions) {
        if (auto known = m_servers.extract(server.id)) {
            bool wasOpen = std::exchange(known.mapped().server, server).isOpen();
            if (!wasOpen && server.isOpen()) {
                beginPace(known.mapped(), PaceReason::Reopened, now);
            }
            servers.insert(std::move(known));
        } else {
            auto& state = servers.emplace(server.id, ServerState(server)).first->second;
            state.cache.setCapacity(m_cacheCapacity);
            if (m_cacheCapacity.count > 0) {
                state.configureAsPromptEngine(meanSecondsPerPromptToken().value_or(assumedSecondsPerPromptToken));
            }
            if (!isFirst) {
                beginPace(state, PaceReason::Added, now);
            }
        }
    }
    m_servers = std::move(servers);
    ++m_generation;
}

void ServerPool::setCacheCapacity(Tokens memory)
{
    m_cacheCapacity = memory;
    for (auto& [id, state] : m_servers) {
        state.cache.setCapacity(memory);
        if (memory.count > 0) {
            state.configureAsPromptEngine(assumedSecondsPerPromptToken);
        }
    }
}

std::optional<double> ServerPool::meanSecondsPerPromptToken() const
{
    double sum = 0;
    int count = 0;
    for (const auto& [id, state] : m_servers) {
        if (state.isMeasured()) {
            sum += state.secondsPerPromptToken();
            ++count;
        }
    }
    return count > 0 ? std::optional(sum / count) : std::nullopt;
}

ServerState* ServerPool::find(const BackendServerId& id)
{
    auto it = m_servers.find(id);
    return it == m_servers.end() ? nullptr : &it->second;
}

void ServerPool::updateRates(double meanSlotSeconds)
{
    std::vector<double> rates;
    for (const auto& [id, state] : m_servers) {
        if (state.tokenRate()) {
            rates.push_back(*state.tokenRate());
        }
    }
    double median = 0;
    if (rates.size() >= 3) {
        auto middle = rates.begin() + static_cast<std::ptrdiff_t>(rates.size() / 2);
        std::nth_element(rates.begin(), middle, rates.end());
        median = *middle;
    }
    m_pacedServers
        = static_cast<int>(std::ranges::count_if(m_servers, [](const auto& it) { return it.second.pace.isPaced(); }));
    for (auto& [id, state] : m_servers) {
        state.slow = false;
        state.usableSlots = pacedSlots(state, state.server.slots);
        if (median > 0 && state.tokenRate() && m_options.useMeasuredRate) {
            double fraction = *state.tokenRate() / median;
            if (fraction < slowRateFraction) {
                state.slow = true;
                state.usableSlots
                    = std::min(state.usableSlots, std::max(1, static_cast<int>(fraction * state.server.slots)));
            }
        }
        state.sustainedSlots = state.usableSlots;
        for (const auto& rate : { state.limit.rate(), state.coldLimit.rate() }) {
            if (rate) {
                state.sustainedSlots = std::min(state.sustainedSlots, rate->perSecond * meanSlotSeconds);
            }
        }
    }
}

void ServerPool::updateLimits(MonotonicTime now)
{
    presumeRejectionLimits(now);
    for (auto& [id, state] : m_servers) {
        state.coldLimit.update(state.server, m_connectedShare, now);
        state.limitReached = !state.isWithinLimits(now);
    }
}

void ServerPool::presumeRejectionLimits(MonotonicTime now)
{
    std::optional<RequestRate> lowest;
    for (const auto& [id, state] : m_servers) {
        if (const auto& rate = state.rejections.rate(); rate && (!lowest || *rate < *lowest)) {
            lowest = rate;
        }
    }
    for (auto& [id, state] : m_servers) {
        if (lowest && state.rejections.heardAt() == MonotonicTime()) {
            state.rejections.recordReport(*lowest, now);
        }
    }
}

void ServerPool::recordSuccess(ServerState& state, MonotonicTime now)
{
    if (state.health.isEjected()) {
        beginPace(state, PaceReason::Recovered, now);
    }
    state.health.recordSuccess();
}

void ServerPool::beginPace(ServerState& state, PaceReason reason, MonotonicTime now)
{
    if (!m_options.pacesRecoveringServers) {
        return;
    }
    state.pace.begin(reason, now);
    state.usableSlots = pacedSlots(state, state.server.slots);
    m_paceChanges.push_back({ state.server.id, reason });
}

int ServerPool::pacedSlots(const ServerState& state, int slots) const
{
    auto paced = state.pace.usableSlots(slots);
    bool isScarce = 2 * m_pacedServers > static_cast<int>(m_servers.size());
    return isScarce ? std::max(paced, std::min(slots, std::max(1, static_cast<int>(scarcePart * slots)))) : paced;
}

void ServerPool::recordPace(
    ServerState& state, Duration time, double work, int inFlightAtGrant, MonotonicTime grantedAt, MonotonicTime now)
{
    if (!state.pace.isPaced()) {
        return;
    }
    // A plain server answers its requests side by side; an engine reads one prompt after the other.
    auto sample = hasPromptEngines() ? state.sampleOf(time, work, inFlightAtGrant) : toSeconds(time);
    auto typical = typicalSample();
    bool inTime = !typical || sample <= lateFactor * *typical;
    state.pace.recordAnswer(inTime, grantedAt, now);
    if (state.pace.endIfReached(state.server.slots)) {
        m_paceChanges.push_back({ state.server.id, {} });
    }
    state.usableSlots = pacedSlots(state, state.server.slots);
}

std::optional<double> ServerPool::typicalSample() const
{
    std::vector<double> seconds;
    for (const auto& [id, state] : m_servers) {
        if (state.isMeasured() && !state.pace.isPaced()) {
            seconds.push_back(hasPromptEngines() ? state.secondsPerPromptToken() : state.firstByteSeconds());
        }
    }
    if (seconds.empty()) {
        return std::nullopt;
    }
    auto middle = seconds.begin() + static_cast<std::ptrdiff_t>(seconds.size() / 2);
    std::ranges::nth_element(seconds, middle);
    return *middle;
}

void ServerPool::recordFailure(ServerState& state, bool died, MonotonicTime now)
{
    bool failing = state.health.recordFailure();
    state.pace.recordAnswer(false, now, now);
    if (died || failing || state.health.isEjected()) {
        eject(state, now);
    }
}

void ServerPool::eject(ServerState& state, MonotonicTime now)
{
    auto ejected = static_cast<std::size_t>(
        std::ranges::count_if(m_servers, [&](const auto& it) { return it.second.health.isEjected(); }));
    if (state.health.isEjected() || 2 * (ejected + 1) <= m_servers.size()) {
        state.health.eject(now);
    }
}

bool ServerPool::isUsable(const ServerState& state) const
{
    return state.server.isOpen() && !state.health.isEjected() && !state.isolated;
}

bool ServerPool::isEmpty() const
{
    return std::ranges::none_of(m_servers, [](const auto& it) { return it.second.server.isOpen(); });
}

bool ServerPool::serves(const std::optional<SoftwareVersion>& version) const
{
    return std::ranges::any_of(
        m_servers, [&](const auto& it) { return it.second.server.isOpen() && fitsVersion(it.second.server, version); });
}

bool ServerPool::hasAvailableServer(MonotonicTime now) const
{
    return std::ranges::any_of(m_servers,
        [&](const auto& it) { return (isUsable(it.second) && it.second.hasFreeSlot()) || it.second.isProbeDue(now); });
}

int ServerPool::totalSlots() const
{
    double sum = 0;
    for (const auto& [id, state] : m_servers) {
        sum += isUsable(state) ? state.sustainedSlots : 0;
    }
    return static_cast<int>(std::ceil(sum));
}

double ServerPool::expectedSlots() const
{
    double sum = 0;
    for (const auto& [id, state] : m_servers) {
        sum += !state.server.isOpen() || state.health.isPersistentlyDown() ? 0 : state.sustainedSlots;
    }
    return sum;
}

int ServerPool::freeSlots() const
{
    int sum = 0;
    for (const auto& [id, state] : m_servers) {
        sum += isUsable(state) && state.hasFreeSlot() ? state.usableSlots - state.inFlight : 0;
    }
    return sum;
}

double ServerPool::unreadTokens() const
{
    double sum = 0;
    for (const auto& [id, state] : m_servers) {
        sum += isUsable(state) ? state.pendingWork : 0;
    }
    return sum;
}

double ServerPool::tokensReadPerSecond() const
{
    double sum = 0;
    for (const auto& [id, state] : m_servers) {
        if (isUsable(state)) {
            sum += 1 / (state.secondsPerPromptToken() * loadFactor(state.inFlight, state.server.slots));
        }
    }
    return sum;
}

std::optional<MonotonicTime> ServerPool::nextProbe() const
{
    std::optional<MonotonicTime> next;
    for (const auto& [id, state] : m_servers) {
        if (state.health.isEjected() && (!next || state.health.probeAt() < *next)) {
            next = state.health.probeAt();
        }
    }
    return next;
}

} // namespace lagoonspoke
