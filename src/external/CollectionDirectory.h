#pragma once

#include <set>

#include <boost/json.hpp>

#include "external/CollectionWatcher.h"
#include "external/InstanceDirectory.h"
#include "external/ObjectStore.h"

namespace lagoonspoke {

// Finds the backend servers in a collection of the store that they keep themselves, and the other instances through
// objects of this product's own, "instance/NAME". Owned by PeerService.
class CollectionDirectory final : public InstanceDirectory {
public:
    struct Options {
        Member self; // without a peer address
        CollectionFollower::Options follower;
        // Instances hear of each other by membership messages; the list only finds those that no message reached.
        Duration instanceInterval = std::chrono::seconds(5);
        Duration registrationRetry = std::chrono::milliseconds(500);
        // Servers of a fleet report one by one; the news that one leaves may be this much later of some seconds.
        Duration watchPause = std::chrono::milliseconds(100);
        // A silent connection to the store is noticed by one of the readers within this time; evacuations are in force
        // within seconds.
        Duration evacuationRenewal = std::chrono::seconds(1);
    };
    // Nothing for an entry that names no usable server; an error for one that cannot be read.
    // The time is when this process first saw the value.
    using DecodeServer = std::function<Outcome<std::optional<BackendServer>>(
        const std::string& name, const std::string& value, MonotonicTime seenAt)>;

    // The collection of evacuations has an item for each evacuated data centre, of its name; null where there are none.
    CollectionDirectory(Options, ObjectCollectionPtr servers, DecodeServer, ObjectCollectionPtr instances,
        ObjectStorePtr, ObjectCollectionPtr evacuations = {});
    ~CollectionDirectory() override;

    void start(asio::io_context&, const std::string& peerAddress, Sink) override;
    void stop() override;
    void setReading(bool, WatchTurn) override;
    bool isCurrent() const override;
    std::uint64_t serversRevision() const override;
    std::string shareLastChange() const override;
    std::string shareServers() const override;
    Outcome<void> hearServers(std::string_view) override;
    void setEvacuations(EvacuationList) override;

private:
    struct State;

    void startEvacuationWatcher(asio::io_context&);
    void noteItems(const std::map<std::string, std::string>&);
    // How long peers keep an item that the store no longer has, if they know it.
    Duration keptFor(const std::string& name) const;
    bool isKept(const std::string& name) const;
    // Whether peers are told of the item. One that names no server is of no use to them, and may be larger than a
    // message.
    bool isShared(const std::string& name) const;
    // For a peer: that the store no longer has the item, and how long it is kept, if it is.
    boost::json::object describeRemoval(const std::string& name) const;

    Options m_options;
    ObjectCollectionPtr m_servers;
    DecodeServer m_decode;
    ObjectCollectionPtr m_instances;
    ObjectStorePtr m_store;
    ObjectCollectionPtr m_evacuations;
    std::unique_ptr<CollectionWatcher> m_watcher;
    std::unique_ptr<CollectionWatcher> m_evacuationWatcher; // none without a collection of them
    std::optional<EvacuationList> m_evacuationList; // that this instance goes by
    std::map<std::string, std::string> m_items; // of the store, as told last
    std::set<std::string> m_kept; // as told last
    std::uint64_t m_itemsRevision = 0;
    std::string m_lastChange;
    // Shared with the coroutines of calls, which end some time after stop().
    std::shared_ptr<State> m_state;
};

} // namespace lagoonspoke
