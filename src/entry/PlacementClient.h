#pragma once

#include <functional>
#include <memory>
#include <variant>

#include <absl/container/flat_hash_map.h>

#include "http/Asio.h"
#include "lagoonspoke/dispatch/Messages.h"

namespace lagoonspoke {

using PlacementResult = std::variant<Grant, Refusal>;

// Asks the dispatcher of a domain for backend servers, wherever that dispatcher runs, and remembers what waits and
// what is held, so that a new dispatcher can be told. One for each traffic thread; used on that thread only.
class PlacementClient {
public:
    using Send = std::function<void(EntryMessage)>;

    PlacementClient(asio::io_context&, Send);

    // Waits for the decision at most for the bound; then withdraws the request and gives Refusal::Overloaded.
    asio::awaitable<PlacementResult> place(PlaceRequest, Duration bound);
    // Ends the wait of place() for this request; the dispatcher is told.
    void withdraw(const RequestId&);
    // Reports on a granted request; the finishing report gives the grant back.
    void report(const Progress&);
    // Delivers a message of a dispatcher. Called by the daemon on this thread.
    void deliver(DispatcherMessage);
    // Called when a dispatcher takes back a grant that is held.
    void setRevoked(std::function<void(const Revoke&)> revoked) { m_revoked = std::move(revoked); }
    // Everything that this thread waits for and holds in the domain.
    Resync makeResync(const InstanceId& entry, const DomainId&) const;

private:
    struct Pending {
        explicit Pending(asio::io_context& io)
            : timer(io)
        {
        }
        PlaceRequest request;
        bool withdrawn = false;
        asio::steady_timer timer;
        std::optional<PlacementResult> result;
    };

    void settle(const RequestId&, PlacementResult);
    void acceptGrant(const Grant&);
    void acceptRevoke(const Revoke&);

    asio::io_context& m_io;
    Send m_send;
    std::function<void(const Revoke&)> m_revoked;
    absl::flat_hash_map<RequestId, std::shared_ptr<Pending>> m_pending;
    absl::flat_hash_map<RequestId, HeldGrant> m_held;
};

} // namespace lagoonspoke
