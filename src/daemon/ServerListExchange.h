#pragma once

#include <functional>
#include <memory>
#include <string>

#include "daemon/ReaderRoles.h"
#include "external/InstanceDirectory.h"
#include "http/Asio.h"

namespace lagoonspoke {

// Passes the list of backend servers on between peers: from the instances that read it to those that do not, and to
// those that the store turns away. Owned by PeerService; used on the control thread only.
class ServerListExchange {
public:
    struct Callbacks {
        std::function<void(const InstanceId& to, std::string payload)> send;
        std::function<void(bool reads)> roleChanged;
    };

    ServerListExchange(asio::io_context&, ReaderRoles::Options, InstanceDirectoryPtr, Callbacks);
    ~ServerListExchange();

    void start();
    // Sends nothing afterwards.
    void stop();
    void setMembers(const std::vector<Member>&);
    // The directory gave a new list.
    void noteServersChanged();
    void receive(const InstanceId& from, std::string_view payload);

    bool reads() const;
    WatchTurn turn() const;
    // The instances that this one passes news of the store on to; empty where each reads for itself.
    std::vector<InstanceId> recipients() const;

private:
    struct State;

    // Shared with the coroutine of the timer, which ends some time after stop().
    std::shared_ptr<State> m_state;
};

} // namespace lagoonspoke
