#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "external/InstanceDirectory.h"
#include "http/Asio.h"
#include "lagoonspoke/core/Error.h"
#include "lagoonspoke/core/Ids.h"
#include "lagoonspoke/dispatch/BackendServer.h"
#include "lagoonspoke/membership/Member.h"
#include "settings/DaemonSettings.h"
#include "wire/Tunnel.h"

namespace lagoonspoke {

// Each area encodes its own messages with a FlatBuffers codec of its own in src/wire.
enum class PeerChannel : std::uint8_t {
    Membership,
    Placement,
    Configuration,
    Usage,
    HandOver,
    Fleet,
    Directory, // PeerService's own: backend servers, for instances that cannot read them
    Tunnel = tunnelChannel, // PeerService's own: connections to backend servers
};

// Membership and message links between the instances. Owned by the Daemon; used on the control thread only.
class PeerService {
public:
    using Receiver = std::function<void(const InstanceId& from, std::string_view payload)>;

    // Without a directory the instance knows only itself.
    static Outcome<std::unique_ptr<PeerService>> Make(
        asio::io_context&, const DaemonSettings&, InstanceDirectoryPtr = nullptr);
    ~PeerService();

    void start();
    // Tells the peers that this instance leaves; it is dropped from hashing at once.
    void announceLeaving();
    void stop();

    std::string address() const; // IP:port as bound
    // Whether the backend servers were read at least once.
    bool knowsServers() const;
    // The evacuated data centres, and since when this instance obeys.
    const std::map<DataCentreId, MonotonicTime>& evacuations() const;
    // The revision of the store's list of backend servers that is known here; 0 where lists have none.
    std::uint64_t serversRevision() const;
    // Every member that was heard of, this instance included. An instance that is only listed may be gone for long.
    const std::vector<Member>& members() const;
    // Whether this instance reads what operators and backend servers write to the store, or lives by what peers tell.
    bool readsStore() const;
    // The place among the instances that read it.
    WatchTurn watchTurn() const;
    // The instances that this one passes news of the store on to; empty where each reads for itself.
    std::vector<InstanceId> recipients() const;
    // The peer addresses of the living instances of this region, which may carry connections to backend servers.
    std::vector<tcp::endpoint> tunnelPeers() const;
    // Whether this instance is cut off from the backend servers, so that it carries no connections to them for others.
    void setCutOff(bool);
    // Waits until the connections that this instance carries for others have ended, at most until then.
    asio::awaitable<void> drainTunnels(MonotonicTime end);
    // Sends at best effort and in order over one link; dropped when the peer cannot be reached.
    void send(const InstanceId& to, PeerChannel, std::string payload);
    void publish(Rumour);
    // Sends the rumours published last to a few peers at once, without waiting for the next probes.
    void pushNews();

    void setReceiver(PeerChannel, Receiver);
    void setMembersChanged(std::function<void()>);
    // Called when readsStore() changed.
    void setRoleChanged(std::function<void()>);
    // Called for rumours of other instances only.
    void setRumourReceiver(std::function<void(const Rumour&)>);
    // Called with the whole new list of backend servers when the instance list or a rumour changed it.
    void setServersChanged(std::function<void(std::vector<BackendServer>)>);
    // Called when messages to the peer may have been lost: its link broke or could not be opened.
    void setPeerLost(std::function<void(const InstanceId&)>);

private:
    struct State;
    explicit PeerService(std::shared_ptr<State>);

    // Shared with the coroutines of its sockets, which end some time after stop().
    std::shared_ptr<State> m_state;
};

} // namespace lagoonspoke
