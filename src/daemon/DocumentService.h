#pragma once

#include "config/DocumentFollower.h"
#include "daemon/ConfigurationService.h"
#include "external/CollectionFollower.h"
#include "external/ObjectStore.h"

namespace lagoonspoke {

// Keeps the configuration of an installation whose operators write it as one document in the store. Follows the
// document's collection and passes it on between peers, so that instances that the store turns away hear of it. If the
// store has come back with an older document than the one in force, it also stores a copy of the latter, which counts
// for instances that start until operators write a newer one.
// Owned by the Daemon; used on the control thread only.
class DocumentService {
public:
    struct Options {
        InstanceId instance;
        std::string name; // of the document in its collection
        CollectionFollower::Options follower;
    };

    // The copy is kept in the object store.
    DocumentService(asio::io_context&, Options, ObjectCollectionPtr, ObjectStorePtr, DecodeDocument, ConfigurationPeers,
        ConfigurationService::Callbacks);
    ~DocumentService();

    void start();
    // Makes no call and runs no callback afterwards.
    void stop();

    // Whether to read the document, or to live by what peers tell; and the peers to pass changes on to.
    void setRole(bool reads, WatchTurn, std::vector<InstanceId> recipients);
    void handleMembers(const std::vector<Member>&);
    void handlePeerMessage(const InstanceId& from, std::string_view payload);

private:
    struct State;

    std::shared_ptr<State> m_state;
};

} // namespace lagoonspoke
