#pragma once

#include <map>
#include <memory>
#include <set>

#include "daemon/Evacuations.h"
#include "daemon/PeerLink.h"
#include "daemon/PeerPorts.h"
#include "daemon/PeerService.h"
#include "daemon/ServerDirectory.h"
#include "daemon/ServerListExchange.h"
#include "daemon/TunnelServer.h"
#include "daemon/UnknownLinks.h"
#include "membership/Membership.h"

namespace lagoonspoke {

// What PeerService runs: the membership decider, its sockets and the instance list. Shared with the coroutines of the
// sockets, which end some time after stop().
struct PeerService::State : std::enable_shared_from_this<PeerService::State> {
    State(asio::io_context&, const DaemonSettings&, PeerPorts, InstanceDirectoryPtr);

    std::string makeHello() const;
    void handle(const MembershipEvent&);
    void execute(std::vector<MembershipAction>);
    void transmit(const SendMembership&);
    void hearRumour(const Rumour&);
    void scheduleWakeup();
    void noteGreeting(const HelloFrame&);
    void receive(const HelloFrame& from, PayloadFrame);
    // Drops the message when the peer is not known to live.
    void sendTo(const InstanceId&, PeerChannel, std::string payload);
    void sendFrame(const InstanceId& to, const std::string& address, PeerChannel, std::string payload);
    std::shared_ptr<PeerLink> linkTo(const InstanceId&, const std::string& address);
    void dropStaleLinks();
    void notifyServers();
    void tellServers() const;
    void updateHeard();

    InstanceDirectory::Sink makeSink();
    void takeServers(std::vector<BackendServer>);
    // Learned from the store or from a peer.
    void takeEvacuations(const EvacuationList&, std::string_view source);
    void logEvacuations(const Evacuations::Change&, std::string_view source) const;
    void openExchange();

    asio::awaitable<void> acceptLinks();
    // Reads the first bytes of an accepted connection, which tell what it is for.
    asio::awaitable<void> receiveFirst(tcp::socket);
    void openSession(tcp::socket, std::string received);
    std::optional<tcp::endpoint> findServer(const std::string& address) const;
    asio::awaitable<void> receiveDatagrams();

    asio::io_context& io;
    const DaemonSettings& settings;
    PeerPorts ports;
    Membership membership;
    std::vector<Member> heard; // the members without those that are only listed
    InstanceDirectoryPtr source; // null without one
    ServerDirectory directory;
    Evacuations evacuations;
    std::size_t overruledServers = 0;
    std::optional<ServerListExchange> exchange; // none without a source, or before the start
    asio::steady_timer timer;
    std::map<InstanceId, std::shared_ptr<PeerLink>> links;
    UnknownLinks unknownLinks; // accepted
    std::set<std::shared_ptr<PeerSession>> sessions; // accepted
    TunnelServer tunnels;
    std::map<PeerChannel, Receiver> receivers;
    std::function<void()> membersChanged = [] {};
    std::function<void()> roleChanged = [] {};
    std::function<void(const Rumour&)> rumourReceiver = [](const Rumour&) {};
    std::function<void(std::vector<BackendServer>)> serversChanged = [](const auto&) {};
    std::function<void(const InstanceId&)> peerLost = [](const InstanceId&) {};
    bool serversRead = false;
    bool stopped = false;
};

} // namespace lagoonspoke
