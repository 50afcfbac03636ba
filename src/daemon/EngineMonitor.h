#pragma once

#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "dispatch/Dispatcher.h"
#include "http/Asio.h"

namespace lagoonspoke {

// Reads the load and the cache events of the model engines whose dispatchers run on this instance. A server that does
// not answer changes nothing by itself: its requests show whether it works. Owned by the Daemon; used on the control
// thread only.
class EngineMonitor {
public:
    using Servers = std::vector<std::pair<DomainId, BackendServer>>;
    struct Callbacks {
        std::function<Servers()> listServers;
        std::function<void(const DomainId&, const DispatchEvent&)> report;
    };

    EngineMonitor(asio::io_context&, Callbacks);
    ~EngineMonitor();

    void start();
    void stop();

private:
    struct State;

    // Shared with the coroutines of calls, which end some time after stop().
    std::shared_ptr<State> m_state;
};

} // namespace lagoonspoke
