#include "dispatch/ServerState.h"

#include <algorithm>

#include "dispatch/ServerSelector.h"

namespace lagoonspoke {

namespace {

// Before the first observation: 8,000 prompt tokens a second.
constexpr double initialSecondsPerPromptToken = 1.0 / 8000;
// Recent observations count most, so that a slowdown shows after a few responses.
constexpr double weightOfNewest = 0.3;
// The first one replaces most of what was assumed.
constexpr double firstWeight = 0.7;
// The time of a shorter prompt is mostly that of the way there and of the first token.
constexpr double smallestSample = 1500;

} // namespace

ServerState::ServerState(BackendServer description)
    : server(std::move(description))
    , usableSlots(server.slots)
    , m_secondsPerPromptToken(initialSecondsPerPromptToken)
{
}

void ServerState::assumePromptEngine(double secondsPerPromptToken)
{
    m_knowsPrompts = true;
    if (!m_measured) {
        m_secondsPerPromptToken = secondsPerPromptToken;
    }
}

void ServerState::noteFirstByte(Duration time, double work, int inFlightAtGrant, MonotonicTime now)
{
    if (m_knowsPrompts && work < smallestSample && m_measured) {
        m_newestObservation = now;
        return;
    }
    double sample = toSeconds(time) / (work * ServerSelector::loadFactor(inFlightAtGrant, server.slots));
    m_secondsPerPromptToken
        += (m_knowsPrompts && !m_measured ? firstWeight : weightOfNewest) * (sample - m_secondsPerPromptToken);
    m_measured = true;
    m_newestObservation = now;
}

void ServerState::addAwaiting(MonotonicTime grantedAt, double promptWork)
{
    awaitingFirstByte.insert(grantedAt);
    pendingWork += promptWork;
}

void ServerState::removeAwaiting(MonotonicTime grantedAt, double promptWork)
{
    if (auto it = awaitingFirstByte.find(grantedAt); it != awaitingFirstByte.end()) {
        awaitingFirstByte.erase(it);
        // An empty set also clears the rounding errors of the sum.
        pendingWork = awaitingFirstByte.empty() ? 0 : pendingWork - promptWork;
    }
}

void ServerState::noteTokens(std::int64_t tokens, Duration time, MonotonicTime now)
{
    // Shorter spans measure the batching of reports, not the engine.
    if (time < std::chrono::milliseconds(50)) {
        return;
    }
    double rate = static_cast<double>(tokens) / toSeconds(time);
    m_tokenRate = m_tokenRate ? *m_tokenRate + weightOfNewest * (rate - *m_tokenRate) : rate;
    m_newestObservation = now;
}

void ServerState::noteReport(int running, double tokensPerSecond, Duration age, MonotonicTime now)
{
    if (now - age <= m_newestObservation || running <= 0) {
        return;
    }
    double rate = tokensPerSecond / running;
    m_tokenRate = m_tokenRate ? *m_tokenRate + weightOfNewest * (rate - *m_tokenRate) : rate;
}

} // namespace lagoonspoke
