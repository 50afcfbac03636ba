#pragma once

#include "external/InstanceDirectory.h"
#include "http/HttpClient.h"

namespace lagoonspoke {

// Reads the product's own instance list interface again and again. Owned by PeerService.
class PolledDirectory final : public InstanceDirectory {
public:
    explicit PolledDirectory(tcp::endpoint);
    ~PolledDirectory() override;

    void start(asio::io_context&, const std::string& peerAddress, Sink) override;
    void stop() override;

private:
    struct State;

    tcp::endpoint m_endpoint;
    // Shared with the coroutine that polls, which ends some time after stop().
    std::shared_ptr<State> m_state;
};

} // namespace lagoonspoke
