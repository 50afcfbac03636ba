#include "config/BlobSources.h"

#include "lagoonspoke/core/Digest.h"

namespace lagoonspoke {

BlobSources::BlobSources(DataCentreId ownDataCentre)
    : m_dataCentre(std::move(ownDataCentre))
{
}

void BlobSources::setPeers(const std::vector<FollowerPeer>& peers)
{
    m_peers.clear();
    std::set<InstanceId> known;
    for (const auto& peer : peers) {
        known.insert(peer.id);
        if (peer.reachable) {
            m_peers.emplace(peer.id, peer.dataCentre);
        }
    }
    std::erase_if(m_announced, [&](const auto& it) { return !known.contains(it.first); });
}

void BlobSources::noteAnnounced(const InstanceId& peer, std::uint64_t number)
{
    m_announced[peer] = number;
}

std::optional<BlobSources::Source> BlobSources::next(
    const ContentDigest& digest, std::uint64_t number, const Attempts& tried) const
{
    if (auto source = nextPeer(digest, number, tried, true)) {
        return source;
    }
    if (m_storeFailing) {
        if (auto source = nextPeer(digest, number, tried, false)) {
            return source;
        }
    }
    if (!tried.store) {
        return Source {};
    }
    return nextPeer(digest, number, tried, false);
}

std::optional<BlobSources::Source> BlobSources::nextPeer(
    const ContentDigest& digest, std::uint64_t number, const Attempts& tried, bool sameDataCentre) const
{
    std::optional<Source> best;
    std::uint64_t bestHash = 0;
    for (const auto& [peer, announced] : m_announced) {
        auto it = m_peers.find(peer);
        if (announced < number || it == m_peers.end() || tried.peers.contains(peer)
            || (it->second == m_dataCentre) != sameDataCentre) {
            continue;
        }
        // Hashing spreads the blobs over the peers that have them.
        auto hash = stableHash(digest.value() + "/" + peer.value());
        if (!best || hash > bestHash) {
            best = Source { peer };
            bestHash = hash;
        }
    }
    return best;
}

} // namespace lagoonspoke
