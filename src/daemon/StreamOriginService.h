#pragma once

#include <functional>
#include <memory>

#include "external/ObjectStore.h"
#include "lagoonspoke/config/ConfigurationSnapshot.h"
#include "lagoonspoke/dispatch/BackendServer.h"
#include "lagoonspoke/membership/Member.h"
#include "streams/StreamOrigins.h"

namespace lagoonspoke {

// Keeps in the object store which software version began which stream, as long as a target has several; see
// StreamOriginBook. Owned by StoreServices, and by the traffic threads as StreamOrigins; but for that interface used on
// the control thread only.
class StreamOriginService final : public StreamOrigins {
public:
    StreamOriginService(asio::io_context&, const InstanceId&, ObjectStorePtr);
    ~StreamOriginService() override;

    void start();
    // Makes no call afterwards but those that run.
    void stop();
    void applySnapshot(const SnapshotPtr&);
    // The whole list of backend servers.
    void applyServers(const std::vector<BackendServer>&);
    // Whether this instance keeps the list of versions, which is one for all, and the instances there are.
    void applyRole(bool keepsVersions, const std::vector<Member>&);

    asio::awaitable<bool> noteGranted(std::string callerId, TargetName, SoftwareVersion, Duration lifetime) override;
    asio::awaitable<StreamOrigin> find(std::string callerId, TargetName, Duration bound) override;

private:
    struct State;

    // Shared with the coroutines of calls, which end some time after stop().
    std::shared_ptr<State> m_state;
};

} // namespace lagoonspoke
