#pragma once

#include <map>
#include <string>
#include <vector>

#include "http/HttpServer.h"

namespace lagoonspoke {

// The platform's usage interface in memory:
//   POST /v1/reports {"window", "team", "report_id", "fencing_token", "sender", "requests", "prompt_tokens",
//                     "output_tokens"}
//   GET /stats     every report, the totals and the faults that were found
//   POST /faults {"down", "lose_responses"}
// A report of the same window and team with the same figures is a harmless repeat. It finds two faults: reports of one
// window and team with different figures (answered with 409, the first stays), and senders whose claims to the lease
// overlap: a report with a token lower than one seen from another sender, or the same token from two senders.
// Owned by the stand-in program; runs on one io_context.
class UsageStandin {
public:
    asio::awaitable<void> handle(HttpExchange&);

private:
    struct Figures {
        std::int64_t requests = 0;
        std::int64_t promptTokens = 0;
        std::int64_t outputTokens = 0;

        bool operator==(const Figures&) const = default;
    };
    struct Report {
        std::int64_t window = 0;
        std::string team;
        std::string id;
        std::int64_t token = 0;
        std::string sender;
        Figures figures;
    };

    asio::awaitable<void> handleReport(HttpExchange&);
    asio::awaitable<void> handleFaults(HttpExchange&);
    asio::awaitable<void> handleStats(HttpExchange&);
    // Whether the report was taken or repeats one that was.
    bool accept(Report);
    void checkClaim(const Report&);

    std::vector<Report> m_reports; // in the order of arrival, repeats and refused ones included
    std::map<std::pair<std::int64_t, std::string>, Figures> m_taken;
    std::map<std::int64_t, std::string> m_senders; // by token
    std::int64_t m_repeats = 0;
    std::int64_t m_differentFigures = 0;
    std::int64_t m_overlappingClaims = 0;
    bool m_down = false;
    std::int64_t m_loseResponses = 0;
};

} // namespace lagoonspoke
