#pragma once

#include "external/UsageReporter.h"
#include "http/HttpClient.h"
#include "lagoonspoke/core/Time.h"

namespace lagoonspoke {

// Client of the product's own usage interface, which takes one team of a window at a time. Copyable; holds no
// connection.
class UsageClient final : public UsageReporter {
public:
    UsageClient(tcp::endpoint, std::string sender, Duration bound);

    bool takesWholeWindows() const override { return false; }
    asio::awaitable<Outcome<void>> report(UsageReport) const override;

private:
    tcp::endpoint m_endpoint;
    std::string m_sender;
    Duration m_bound;
};

} // namespace lagoonspoke
