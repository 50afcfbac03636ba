#pragma once

#include <vector>

#include "tools/load/LoadReport.h"

namespace lagoonspoke {

// Sends the planned requests at their times, whatever becomes of the earlier ones, spread over the entries in turn.
// Owned by the load tool; runs on one io_context.
class LoadRun {
public:
    struct Options {
        std::vector<tcp::endpoint> entries;
        std::vector<tcp::endpoint> engines; // stand-ins whose /stats tell the tokens made; may be empty
        Duration bound = std::chrono::seconds(120); // for one request
        bool showProgress = false;
    };

    LoadRun(asio::io_context&, const Profile&, std::vector<Arrival>, Options);

    asio::awaitable<boost::json::object> run();

private:
    asio::awaitable<void> sendOne(std::size_t index);
    asio::awaitable<std::int64_t> readTokensMade();
    asio::awaitable<void> waitUntilFinished();
    HttpCall makeCall(const Arrival&) const;
    void printProgress() const;

    asio::io_context& m_io;
    const Profile& m_profile;
    std::vector<Arrival> m_plan;
    Options m_options;
    LoadReport m_report;
    std::size_t m_sent = 0;
    std::size_t m_finished = 0;
};

} // namespace lagoonspoke
