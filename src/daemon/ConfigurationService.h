#pragma once

#include <functional>
#include <memory>

#include "daemon/PeerService.h"
#include "external/ObjectStore.h"
#include "lagoonspoke/config/ConfigurationSnapshot.h"

namespace lagoonspoke {

// How the service reaches its peers. Empty functions leave it with the object store alone.
struct ConfigurationPeers {
    std::function<void(const InstanceId& to, std::string payload)> send;
    std::function<void(Rumour)> publish;

    static ConfigurationPeers Make(PeerService* peers)
    {
        if (!peers) {
            return {};
        }
        return { [peers](const InstanceId& to, std::string payload) {
                    peers->send(to, PeerChannel::Configuration, std::move(payload));
                },
            [peers](Rumour rumour) { peers->publish(std::move(rumour)); } };
    }
};

// Runs a ConfigurationFollower against the object store and the peers. Owned by the Daemon; used on the control
// thread only. The Daemon passes on the events of PeerService, whose callbacks several services share.
class ConfigurationService {
public:
    struct Callbacks {
        // Called with each configuration that takes effect, in the order of their numbers.
        std::function<void(SnapshotPtr)> applySnapshot;
        // Whether requests that carry a key may be admitted; they may not before the first call.
        std::function<void(bool)> setKeyedAdmission;
    };

    // The name of the rumour that carries the head in force.
    static constexpr std::string_view rumourKey = "config/head";

    ConfigurationService(
        asio::io_context&, const DaemonSettings&, WatchableObjectStorePtr, ConfigurationPeers, Callbacks);
    ~ConfigurationService();

    void start();
    // Makes no call and runs no callback afterwards.
    void stop();

    // The number in force; 0 without a configuration.
    std::uint64_t number() const;

    void handleMembers(const std::vector<Member>&);
    void handlePeerMessage(const InstanceId& from, std::string_view payload);
    // Ignores rumours with another key.
    void handleRumour(const Rumour&);

private:
    struct State;

    // Shared with the coroutines of store calls, which end some time after stop().
    std::shared_ptr<State> m_state;
};

} // namespace lagoonspoke
