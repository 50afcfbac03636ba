#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "config/FollowerMessages.h"

namespace lagoonspoke {

// Remembers which peers announced which head number, and chooses where to fetch a blob from: first peers of the same
// data centre, then the object store, then other peers. While the store fails, other peers come before it.
// Owned by ConfigurationFollower.
class BlobSources {
public:
    struct Attempts {
        std::set<InstanceId> peers;
        bool store = false;
    };
    struct Source {
        std::optional<InstanceId> peer; // nothing for the store
    };

    explicit BlobSources(DataCentreId ownDataCentre);

    void setPeers(const std::vector<FollowerPeer>&);
    void noteAnnounced(const InstanceId&, std::uint64_t number);
    void noteStoreFailing(bool failing) { m_storeFailing = failing; }

    // The next source not yet tried, for a blob of the head with the number; nothing when all were tried.
    std::optional<Source> next(const ContentDigest&, std::uint64_t number, const Attempts&) const;

private:
    std::optional<Source> nextPeer(
        const ContentDigest&, std::uint64_t number, const Attempts&, bool sameDataCentre) const;

    DataCentreId m_dataCentre;
    std::map<InstanceId, DataCentreId> m_peers; // reachable ones
    std::map<InstanceId, std::uint64_t> m_announced;
    bool m_storeFailing = false;
};

} // namespace lagoonspoke
