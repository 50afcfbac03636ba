#pragma once

#include <functional>
#include <memory>

#include "external/CollectionFollower.h"

namespace lagoonspoke {

// Runs a CollectionFollower against its collection. Owned by the service that wants the items; used on the control
// thread only.
class CollectionWatcher {
public:
    struct Callbacks {
        std::function<void(const std::map<std::string, std::string>& items)> updated;
        std::function<void(bool reachable)> reachable;
    };

    // The name appears in log lines.
    CollectionWatcher(asio::io_context&, std::string name, ObjectCollectionPtr, CollectionFollower::Options, Callbacks);
    ~CollectionWatcher();

    void start();
    // Makes no further call and runs no callback afterwards.
    void stop();

    // What a peer tells, or a change of role.
    void tell(CollectionEvent);
    const CollectionFollower& follower() const;

private:
    struct State;

    // Shared with the coroutines of calls, which end some time after stop().
    std::shared_ptr<State> m_state;
};

} // namespace lagoonspoke
