#include "dispatch/servers/ServerState.h"

#include <algorithm>

#include "dispatch/servers/ReadingCost.h"

namespace lagoonspoke {

namespace {

// Assumed before the first observation: 8,000 prompt tokens per second.
constexpr double initialSecondsPerPromptToken = 1.0 / 8000;
// Weight of the newest sample in the moving averages: high, so that a slowdown shows after a few responses.
constexpr double weightOfNewest = 0.3;
// Weight of the first sample, which replaces most of the assumed value.
constexpr double weightOfFirst = 0.7;
// Fewest prompt tokens for a usable sample: with a shorter prompt, network latency and the first decode step dominate
// the time.
constexpr double minSampleTokens = 1500;

} // namespace

ServerState::ServerState(BackendServer description)
    : server(std::move(description))
    , usableSlots(server.slots)
    , sustainedSlots(server.slots)
    , m_secondsPerPromptToken(initialSecondsPerPromptToken)
{
}

void ServerState::configureAsPromptEngine(double secondsPerPromptToken)
{
    m_isPromptEngine = true;
    if (!m_measured) {
        m_secondsPerPromptToken = secondsPerPromptToken;
    }
}

double ServerState::sampleOf(Duration time, double work, int inFlightAtGrant) const
{
    return toSeconds(time) / (work * loadFactor(inFlightAtGrant, server.slots));
}

void ServerState::recordFirstByte(Duration time, double work, int inFlightAtGrant, MonotonicTime now)
{
    m_firstByteSeconds += (m_firstByteSeconds > 0 ? weightOfNewest : 1) * (toSeconds(time) - m_firstByteSeconds);
    if (m_isPromptEngine && work < minSampleTokens && m_measured) {
        m_newestObservation = now;
        return;
    }
    double sample = sampleOf(time, work, inFlightAtGrant);
    m_secondsPerPromptToken
        += (m_isPromptEngine && !m_measured ? weightOfFirst : weightOfNewest) * (sample - m_secondsPerPromptToken);
    m_measured = true;
    m_newestObservation = now;
}

void ServerState::addAwaitingFirstByte(MonotonicTime grantedAt, double promptWork)
{
    awaitingFirstByte.insert(grantedAt);
    pendingWork += promptWork;
}

void ServerState::removeAwaitingFirstByte(MonotonicTime grantedAt, double promptWork)
{
    if (auto it = awaitingFirstByte.find(grantedAt); it != awaitingFirstByte.end()) {
        awaitingFirstByte.erase(it);
        // Resets the sum when no request is left, which also discards its rounding errors.
        pendingWork = awaitingFirstByte.empty() ? 0 : pendingWork - promptWork;
    }
}

void ServerState::recordTokens(std::int64_t tokens, Duration time, MonotonicTime now)
{
    // Shorter times reflect the batching of progress reports, not the speed of the engine.
    if (time < std::chrono::milliseconds(50)) {
        return;
    }
    double rate = static_cast<double>(tokens) / toSeconds(time);
    m_tokenRate = m_tokenRate ? *m_tokenRate + weightOfNewest * (rate - *m_tokenRate) : rate;
    m_newestObservation = now;
}

void ServerState::recordLoadReport(int running, double tokensPerSecond, Duration age, MonotonicTime now)
{
    if (now - age <= m_newestObservation || running <= 0) {
        return;
    }
    double rate = tokensPerSecond / running;
    m_tokenRate = m_tokenRate ? *m_tokenRate + weightOfNewest * (rate - *m_tokenRate) : rate;
}

} // namespace lagoonspoke
