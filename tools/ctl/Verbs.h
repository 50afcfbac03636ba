#pragma once

#include <string>
#include <vector>

#include "external/ObjectStoreClient.h"

namespace lagoonspoke {

// Exit codes of lagoonspokectl, documented in its help.
enum class ExitCode {
    Done = 0,
    Failed = 1,
    InvalidInput = 2,
    Conflict = 3,
    Unavailable = 4, // or the effect is unknown
};

enum class OutputFormat { Table, Json };

struct VerbResult {
    ExitCode code = ExitCode::Done;
    std::string output; // for standard output
    std::string error = {}; // for standard error
};

// One verb of lagoonspokectl.
struct Verb {
    std::string_view name; // such as "ticket submit"
    std::string_view arguments; // such as "A B"
    std::size_t argumentCount;
    std::string_view help;
    asio::awaitable<VerbResult> (*run)(ObjectStoreClient, std::vector<std::string> arguments, OutputFormat);
    bool usesStore = true;
};

asio::awaitable<VerbResult> submitTicketFile(ObjectStoreClient, std::vector<std::string>, OutputFormat);
asio::awaitable<VerbResult> showTicket(ObjectStoreClient, std::vector<std::string>, OutputFormat);
asio::awaitable<VerbResult> listTickets(ObjectStoreClient, std::vector<std::string>, OutputFormat);
asio::awaitable<VerbResult> diffTickets(ObjectStoreClient, std::vector<std::string>, OutputFormat);
asio::awaitable<VerbResult> showStatus(ObjectStoreClient, std::vector<std::string>, OutputFormat);
asio::awaitable<VerbResult> issueKey(ObjectStoreClient, std::vector<std::string>, OutputFormat);
asio::awaitable<VerbResult> withdrawKey(ObjectStoreClient, std::vector<std::string>, OutputFormat);
// Reads logs from standard input.
asio::awaitable<VerbResult> explainRequest(ObjectStoreClient, std::vector<std::string>, OutputFormat);

// The result of a store call that failed.
VerbResult makeFailure(const Error&);

} // namespace lagoonspoke
