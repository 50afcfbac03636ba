#include <boost/json.hpp>
#include <fmt/format.h>

#include "external/TicketSubmitter.h"
#include "tools/ctl/Table.h"
#include "tools/ctl/Verbs.h"

namespace lagoonspoke {

namespace json = boost::json;

asio::awaitable<VerbResult> showStatus(ObjectStoreClient store, std::vector<std::string>, OutputFormat format)
{
    auto stored = co_await readConfiguration(store);
    if (!stored) {
        co_return makeFailure(stored.error());
    }
    const auto& configuration = stored->configuration;
    auto next = stored->head.number + 1;
    auto pending = co_await store.get(ticketKey(next));
    if (!pending && pending.error().code != ErrorCode::NotFound) {
        co_return makeFailure(pending.error());
    }
    std::size_t keys = 0;
    for (const auto& [name, team] : configuration.teams) {
        keys += team.keys.size();
    }
    const std::pair<const char*, std::size_t> counts[] = { { "tiers", configuration.tiers.size() },
        { "classes", configuration.classes.size() }, { "teams", configuration.teams.size() }, { "keys", keys },
        { "deployments", configuration.deployments.size() }, { "services", configuration.services.size() },
        { "routes", configuration.routes.size() } };
    if (format == OutputFormat::Json) {
        json::object object { { "number", stored->head.number }, { "ticket_digest", stored->head.ticketDigest.value() },
            { "next_number", next }, { "next_ticket_object_exists", pending.has_value() } };
        for (const auto& [name, count] : counts) {
            object[name] = count;
        }
        co_return VerbResult { ExitCode::Done, json::serialize(object) + "\n" };
    }
    std::vector<std::vector<std::string>> rows { { "accepted number", std::to_string(stored->head.number) },
        { "ticket digest", stored->head.ticketDigest.value() }, { "next number", std::to_string(next) } };
    for (const auto& [name, count] : counts) {
        rows.push_back({ name, std::to_string(count) });
    }
    auto text = formatTable(rows);
    if (pending) {
        text += fmt::format("\nticket {0} was written but is not accepted: its submission is running or was lost. "
                            "Submit a ticket with number {0}; it replaces the one left behind.\n",
            next);
    }
    co_return VerbResult { ExitCode::Done, std::move(text) };
}

} // namespace lagoonspoke
