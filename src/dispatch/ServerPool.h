#pragma once

#include <map>
#include <vector>

#include "dispatch/DispatchOptions.h"
#include "dispatch/ServerState.h"

namespace lagoonspoke {

// The backend servers of a domain: which of them take requests, and how many. Owned by a dispatcher.
class ServerPool {
public:
    explicit ServerPool(const DispatchOptions& options)
        : m_options(options)
    {
    }

    // Replaces the list; servers known before keep their state.
    void replace(const std::vector<BackendServer>&);
    // Tokens that each server holds; zero when unknown.
    void setMemory(Tokens);
    ServerState* find(const BackendServerId&);
    std::map<BackendServerId, ServerState>& servers() { return m_servers; }
    const std::map<BackendServerId, ServerState>& servers() const { return m_servers; }

    // Sets each server's usable slots from its measured rate relative to the pool's median.
    void updateRates();
    void noteSuccess(ServerState&);
    void noteFailure(ServerState&, bool died, MonotonicTime now);

    bool isUsable(const ServerState&) const;
    bool isEmpty() const;
    // Whether any server may take a request now, as a probe at least.
    bool hasChoice(MonotonicTime now) const;
    // Slots of all usable servers together, and how many of them are free.
    int totalSlots() const;
    int freeSlots() const;
    // Slots once servers that were ejected or run a suspect request for a short time are back.
    int expectedSlots() const;
    std::optional<MonotonicTime> nextProbe() const;
    // Whether the servers are model engines whose prompts are known part by part.
    bool knowsPrompts() const { return m_memory.count > 0; }
    // Prompt tokens that the usable servers have not read yet, and how many all of them read in a second.
    double unreadTokens() const;
    double tokensReadPerSecond() const;

private:
    void eject(ServerState&, MonotonicTime now);
    // Of the servers that were measured.
    std::optional<double> meanSecondsPerPromptToken() const;

    const DispatchOptions& m_options;
    Tokens m_memory;
    std::map<BackendServerId, ServerState> m_servers; // ordered, so that decisions do not depend on hashes
};

} // namespace lagoonspoke
