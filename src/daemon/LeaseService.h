#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "daemon/PeerService.h"
#include "external/ObjectStore.h"
#include "lease/LeaseMachine.h"

namespace lagoonspoke {

// Runs the lease machines of this instance: one for each data centre, "fleet/DC", and "usage".
// Owned by the Daemon; used on the control thread only.
class LeaseService {
public:
    // Called with the token when a lease is gained, and with nothing when it is lost. At the loss, connections that
    // carry orders under the lease must be closed.
    using Changed = std::function<void(const std::string& lease, std::optional<FencingToken>)>;

    // The process's name is unique for each start, so that a restarted instance is not taken for its predecessor.
    LeaseService(asio::io_context&, ObjectStorePtr, InstanceId, std::string process, LeaseMachine::Options = {});
    ~LeaseService();

    void setChanged(Changed changed) { m_changed = std::move(changed); }
    void start();
    // Decides from the live members which leases this instance is a candidate for. Call it at every change.
    void applyMembers(const std::vector<Member>&);
    // Whether an order may be written to its connection now, and with which token.
    std::optional<FencingToken> mayAct(const std::string& lease) const;
    bool isHolder(const std::string& lease) const;
    // Gives every lease up; returns when the object store has answered, or after the bound.
    asio::awaitable<void> release(Duration bound);

    static std::string fleetLease(const DataCentreId& dataCentre) { return "fleet/" + dataCentre.value(); }
    static std::string usageLease() { return "usage"; }
    // Every reading of a lease object is billed, so only the first few instances watch each lease.
    static constexpr std::size_t candidatesPerLease = 3;

private:
    struct Held {
        LeaseMachine machine;
        std::optional<DataCentreId> preferred;
    };

    void addLease(const std::string& lease, std::optional<DataCentreId> preferred);
    void handle(const std::string& lease, const LeaseEvent&);
    void execute(const std::string& lease, std::vector<LeaseAction>);
    asio::awaitable<void> tick();
    asio::awaitable<void> read(std::string lease, ReadLease);
    asio::awaitable<void> write(std::string lease, WriteLease);

    asio::io_context& m_io;
    ObjectStorePtr m_store;
    InstanceId m_instance;
    std::string m_process;
    LeaseMachine::Options m_options;
    Changed m_changed;
    std::map<std::string, Held> m_leases;
    bool m_stopped = false;
};

} // namespace lagoonspoke
