#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "external/EvacuationList.h"
#include "external/WatchTurn.h"
#include "http/Asio.h"
#include "lagoonspoke/core/Error.h"
#include "lagoonspoke/dispatch/BackendServer.h"
#include "lagoonspoke/membership/Member.h"

namespace lagoonspoke {

// Tells which instances and backend servers there are, some time ago. Owned by PeerService; used on the control thread
// only.
class InstanceDirectory {
public:
    // Each is called with a whole new list. Members have no incarnation.
    struct Sink {
        std::function<void(std::vector<Member>)> instances;
        std::function<void(std::vector<BackendServer>)> servers;
        // As the store has them, or as a peer shared them with its backend servers.
        std::function<void(EvacuationList)> evacuations;
    };

    virtual ~InstanceDirectory() = default;

    // The address is that of this instance for its peers.
    virtual void start(asio::io_context&, const std::string& peerAddress, Sink) = 0;
    // Calls the sink no more.
    virtual void stop() = 0;

    // Whether to read the backend servers, or to live by what peers share, and the place among those that read.
    virtual void setReading(bool, WatchTurn) { }
    // Whether the backend servers are as read; otherwise peers are asked for what they know.
    virtual bool isCurrent() const { return true; }
    // Grows with every change of the backend servers.
    virtual std::uint64_t serversRevision() const { return 0; }
    // The backend servers as known, for a peer; empty when there is nothing to share.
    virtual std::string shareServers() const { return {}; }
    // The last change of the backend servers, for a peer that knew them before it.
    virtual std::string shareLastChange() const { return {}; }
    // The evacuations that this instance goes by, to be shared together with the backend servers.
    virtual void setEvacuations(EvacuationList) { }
    // What a peer shared. Errors: Conflict when changes are missing in between, ProtocolViolation.
    virtual Outcome<void> hearServers(std::string_view) { return {}; }
};

using InstanceDirectoryPtr = std::shared_ptr<InstanceDirectory>;

} // namespace lagoonspoke
