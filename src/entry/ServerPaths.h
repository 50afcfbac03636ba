#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "entry/BackendConnection.h"
#include "http/Asio.h"
#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// Which backend servers this instance reaches itself, and which peers reach servers for it. A server that it does not
// reach while a peer does has not failed: the instance is cut off from it. Pure; owned by a ServerConnector.
class ServerPaths {
public:
    explicit ServerPaths(std::uint64_t seed)
        : m_random(seed)
    {
    }

    // The peer addresses of the instances that may carry connections.
    void setPeers(std::vector<tcp::endpoint>);
    bool hasPeers() const { return !m_peers.empty(); }

    // Whether connections to the server go through a peer. Once two servers in a row turned out to be cut off, that
    // holds for all of them, until one is reached again.
    bool isCutOff(const std::string& address) const;
    // Whether this instance is cut off from all servers, as far as it knows.
    bool isCutOff() const { return m_cutOffInRow.size() >= 2; }
    // How many servers are reached through peers.
    std::size_t cutOffCount() const { return m_cutOff.size(); }
    // Whether a peer has just failed to reach the server too.
    bool isKnownDown(const std::string& address, MonotonicTime now) const;
    // The peers to try, the likeliest first.
    std::vector<tcp::endpoint> choosePeers(MonotonicTime now);
    // How many peers have to fail before the server counts as down: some of them may be cut off as well.
    std::size_t failuresOfDownServer() const { return m_cutOffInRow.empty() ? 1 : 3; }

    void recordDirect(const std::string& address, bool reached, MonotonicTime now);
    void recordTunnel(const std::string& address, const tcp::endpoint& peer, TunnelOutcome, MonotonicTime now);

    // The next server to try directly again; empty if none is cut off.
    std::optional<std::string> nextRetrial(MonotonicTime now);
    // A server reached through a peer that no tunnel has been opened through lately; empty if all are known to work.
    std::optional<std::pair<std::string, tcp::endpoint>> nextPeerTrial(MonotonicTime now) const;

private:
    struct Peer {
        MonotonicTime openedAt {};
        MonotonicTime failedAt {};
    };
    struct CutOff {
        MonotonicTime usedAt; // last reached through a peer then
        std::uint64_t triedAt = 0; // in the order of retrials
    };

    static bool works(const Peer&, MonotonicTime now);
    void expire(MonotonicTime now);

    std::minstd_rand m_random;
    std::map<tcp::endpoint, Peer> m_peers;
    std::map<std::string, CutOff> m_cutOff; // by address
    std::set<std::string> m_cutOffInRow; // since a server was reached directly
    std::map<std::string, MonotonicTime> m_unreached; // directly, since the server was reached last
    std::map<std::string, MonotonicTime> m_down; // for peers as well, then
    std::uint64_t m_retrials = 0;
};

} // namespace lagoonspoke
