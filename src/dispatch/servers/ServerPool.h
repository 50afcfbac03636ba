#pragma once

#include <map>
#include <utility>
#include <vector>

#include "dispatch/DispatchOptions.h"
#include "dispatch/servers/ServerState.h"

namespace lagoonspoke {

// The backend servers of a domain: which of them accept requests, and how many. Owned by a dispatcher.
class ServerPool {
public:
    explicit ServerPool(const DispatchOptions& options)
        : m_options(options)
    {
    }

    // A server began or ended its pace, for the log.
    struct PaceChange {
        BackendServerId server;
        std::optional<PaceReason> begun; // empty when it ended
    };
    std::vector<PaceChange> takePaceChanges() { return std::exchange(m_paceChanges, {}); }

    // Replaces the list; servers that were in the previous one keep their state.
    void replace(const std::vector<BackendServer>&, MonotonicTime now);
    // Capacity of each server's prefix cache; zero when unknown.
    void setCacheCapacity(Tokens);
    ServerState* find(const BackendServerId&);
    // Changes with every change of the list of servers.
    std::uint64_t generation() const { return m_generation; }
    std::map<BackendServerId, ServerState>& servers() { return m_servers; }
    const std::map<BackendServerId, ServerState>& servers() const { return m_servers; }

    // Sets each server's usable slots from its measured rate relative to the pool's median, and the sustained ones from
    // its request limit and the mean time that a request occupies a slot.
    void updateRates(double meanSlotSeconds);
    // Notes which request limits leave no room for a request.
    void updateLimits(MonotonicTime now);
    // The part of the known instances that this dispatcher is connected to, 0 to 1; see ColdRateLimit.
    void setConnectedShare(double share) { m_connectedShare = share; }
    void recordSuccess(ServerState&, MonotonicTime now);
    // The server answered a request that was granted at the given time: whether in the time that healthy servers take
    // decides on its pace.
    void recordPace(
        ServerState&, Duration time, double work, int inFlightAtGrant, MonotonicTime grantedAt, MonotonicTime now);
    void recordFailure(ServerState&, bool died, MonotonicTime now);

    bool isUsable(const ServerState&) const;
    bool isEmpty() const;
    // Whether a server that does not leave may run a request that is bound to the version, if to any.
    bool serves(const std::optional<SoftwareVersion>&) const;
    // Whether any server can accept a request now, if only as a probe.
    bool hasAvailableServer(MonotonicTime now) const;
    // Slots of all usable servers, and how many of them are free.
    int totalSlots() const;
    int freeSlots() const;
    // Slots including those of servers that are unavailable for a short time: ejected, or isolated for a suspect
    // request. Each server counts with the slots that its request limit keeps busy.
    double expectedSlots() const;
    std::optional<MonotonicTime> nextProbe() const;
    // Whether the servers are model engines whose prompt parts and cache capacity are known.
    bool hasPromptEngines() const { return m_cacheCapacity.count > 0; }
    // Prompt tokens that the usable servers have yet to read, and how many they read per second in total.
    double unreadTokens() const;
    double tokensReadPerSecond() const;

private:
    // Servers of one kind fail alike: one that has not answered yet is taken to survive as few rejections as the
    // others.
    void presumeRejectionLimits(MonotonicTime now);
    void eject(ServerState&, MonotonicTime now);
    void beginPace(ServerState&, PaceReason, MonotonicTime now);
    // Slots that the server's pace allows of the given ones. While fewer than half of the servers are at full pace,
    // capacity goes first: then each gets a part of its slots at least.
    int pacedSlots(const ServerState&, int slots) const;
    // Mean over the servers with measurements; empty when there are none.
    std::optional<double> meanSecondsPerPromptToken() const;
    // The median of the measured servers at full pace: seconds for a prompt token of engines, to the first byte of
    // plain servers. Empty when there are none.
    std::optional<double> typicalSample() const;

    const DispatchOptions& m_options;
    Tokens m_cacheCapacity;
    double m_connectedShare = 1;
    int m_pacedServers = 0; // at the last update of the rates
    std::vector<PaceChange> m_paceChanges;
    std::uint64_t m_generation = 0;
    std::map<BackendServerId, ServerState> m_servers; // ordered, so that decisions do not depend on hash order
};

} // namespace lagoonspoke
