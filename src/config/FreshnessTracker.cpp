#include "config/FreshnessTracker.h"

#include <algorithm>
#include <iterator>
#include <map>

#include "lagoonspoke/core/Digest.h"

namespace lagoonspoke {

namespace {

// Takes one peer of each data centre in turn until there are enough. Both ends of a pair rank it alike, so that most
// pairs ask each other and share a link.
std::set<InstanceId> chooseSample(const InstanceId& own, const std::vector<FollowerPeer>& peers)
{
    std::map<DataCentreId, std::multimap<std::uint64_t, InstanceId>> ranked;
    for (const auto& peer : peers) {
        const auto& [first, second] = std::minmax(own, peer.id);
        ranked[peer.dataCentre].emplace(stableHash(first.value() + "/" + second.value()), peer.id);
    }
    std::set<InstanceId> sample;
    while (sample.size() < FreshnessTracker::sampleSize) {
        for (auto& [dataCentre, candidates] : ranked) {
            if (!candidates.empty() && sample.size() < FreshnessTracker::sampleSize) {
                sample.insert(candidates.extract(candidates.begin()).mapped());
            }
        }
    }
    return sample;
}

} // namespace

void FreshnessTracker::setPeers(const InstanceId& own, const std::vector<FollowerPeer>& peers)
{
    if (peers.size() > mostAsked) {
        m_asked = chooseSample(own, peers);
    } else {
        m_asked.clear();
        std::ranges::transform(peers, std::inserter(m_asked, m_asked.end()), [](const auto& it) { return it.id; });
    }
    std::erase_if(m_heard, [&](const auto& it) { return !m_asked.contains(it); });
}

std::vector<InstanceId> FreshnessTracker::startRound(MonotonicTime now)
{
    m_roundStart = now;
    m_heard.clear();
    m_firstHeard.reset();
    return { m_asked.begin(), m_asked.end() };
}

void FreshnessTracker::noteStore(MonotonicTime sent, Duration longest, MonotonicTime now)
{
    noteEvidence(std::min(now, sent + longest));
}

void FreshnessTracker::notePeer(const InstanceId& peer, MonotonicTime now)
{
    if (!m_asked.contains(peer)) {
        return;
    }
    m_heard.insert(peer);
    m_firstHeard = m_firstHeard.value_or(std::min(now, m_roundStart + roundPeriod));
    if (m_heard.size() * 2 > m_asked.size()) {
        // The oldest answer of the round counts, so that the whole majority is within the bound.
        noteEvidence(*m_firstHeard);
    }
}

std::optional<MonotonicTime> FreshnessTracker::expiry(MonotonicTime now) const
{
    return isFresh(now) ? std::optional(*m_lastEvidence + bound + Duration(1)) : std::nullopt;
}

void FreshnessTracker::noteEvidence(MonotonicTime time)
{
    m_lastEvidence = std::max(m_lastEvidence.value_or(time), time);
}

} // namespace lagoonspoke
