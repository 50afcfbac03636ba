#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/json.hpp>
#include <fmt/format.h>

#include "config/CanonicalJson.h"
#include "external/TicketSubmitter.h"
#include "lagoonspoke/core/Text.h"
#include "tools/ctl/SubmissionReport.h"
#include "tools/ctl/Table.h"
#include "tools/ctl/Verbs.h"

namespace lagoonspoke {

namespace json = boost::json;

namespace {

// Most tickets that one diff reads.
constexpr std::uint64_t maxDiffTickets = 1000;

Outcome<std::string> readFile(const std::string& path)
{
    std::ostringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream in(path);
    if (!in) {
        return makeError(ErrorCode::InvalidArgument, fmt::format("{}: cannot be read", path));
    }
    text << in.rdbuf();
    return text.str();
}

Outcome<std::uint64_t> parseTicketNumber(const std::string& text)
{
    auto number = parseNumber<std::uint64_t>(text);
    if (!number) {
        return makeError(ErrorCode::InvalidArgument, fmt::format("'{}' is not a ticket number", text));
    }
    return *number;
}

std::string_view describeState(std::uint64_t number, const ConfigurationHead& head)
{
    return number <= head.number ? "accepted" : "not accepted";
}

json::value parseStored(const std::string& text)
{
    auto value = parseJson(text);
    return value ? *value : json::value();
}

// One row for each object of a ticket.
void addObjectRows(const json::value& ticket, std::vector<std::vector<std::string>>& rows)
{
    const auto* object = ticket.if_object();
    const auto* list = object ? object->if_contains("objects") : nullptr;
    if (!list || !list->is_array()) {
        return;
    }
    for (const auto& it : list->get_array()) {
        std::vector<Error> errors;
        JsonReader reader(it, "", errors);
        auto kind = reader.readString("kind");
        auto name = reader.readString("name");
        const auto* spec = it.is_object() ? it.get_object().if_contains("spec") : nullptr;
        rows.push_back({ kind, name, !spec || spec->is_null() ? "deleted" : serialiseCanonically(*spec) });
    }
}

std::string formatDiff(
    const std::map<std::pair<std::string, std::string>, std::pair<std::string, std::string>>& changes,
    OutputFormat format)
{
    std::vector<std::vector<std::string>> rows { { "KIND", "NAME", "TICKET", "STATE" } };
    json::array list;
    for (const auto& [key, change] : changes) {
        rows.push_back({ key.first, key.second, change.first, change.second });
        bool deleted = change.second == "deleted";
        list.push_back(json::object { { "kind", key.first }, { "name", key.second },
            { "ticket", *parseNumber<std::int64_t>(change.first) },
            { "spec", deleted ? json::value() : parseStored(change.second) } });
    }
    return format == OutputFormat::Json ? json::serialize(json::object { { "changes", std::move(list) } }) + "\n"
                                        : formatTable(rows);
}

} // namespace

asio::awaitable<VerbResult> submitTicketFile(
    ObjectStoreClient store, std::vector<std::string> arguments, OutputFormat format)
{
    auto text = readFile(arguments[0]);
    if (!text) {
        co_return makeFailure(text.error());
    }
    auto ticket = Ticket::Make(*text);
    if (!ticket) {
        co_return VerbResult { ExitCode::InvalidInput, "", formatErrors(ticket.error()) };
    }
    auto number = ticket->number();
    TicketSubmission::Options options;
    auto submitted = co_await submitTicket(store, std::move(*ticket), options);
    co_return reportSubmission(submitted.result, number, format);
}

asio::awaitable<VerbResult> showTicket(ObjectStoreClient store, std::vector<std::string> arguments, OutputFormat format)
{
    auto number = parseTicketNumber(arguments[0]);
    if (!number) {
        co_return makeFailure(number.error());
    }
    // The head is read first: a ticket read before it could be replaced by the one accepted in between.
    auto head = co_await readStoredHead(store);
    if (!head) {
        co_return makeFailure(head.error());
    }
    auto object = co_await store.get(ticketKey(*number));
    if (!object) {
        co_return makeFailure(object.error());
    }
    auto state = std::string(describeState(*number, *head));
    auto digest = digestContent(object->value).value();
    auto ticket = parseStored(object->value);
    if (format == OutputFormat::Json) {
        json::object result { { "number", *number }, { "state", state }, { "digest", digest }, { "ticket", ticket } };
        co_return VerbResult { ExitCode::Done, json::serialize(result) + "\n" };
    }
    std::vector<std::vector<std::string>> rows { { "KIND", "NAME", "STATE" } };
    addObjectRows(ticket, rows);
    co_return VerbResult { ExitCode::Done,
        fmt::format("ticket {} ({})\ndigest {}\n\n{}", *number, state, digest, formatTable(rows)) };
}

asio::awaitable<VerbResult> listTickets(ObjectStoreClient store, std::vector<std::string>, OutputFormat format)
{
    auto head = co_await readStoredHead(store);
    auto entries = co_await store.list(std::string(ticketPrefix));
    if (!head || !entries) {
        co_return makeFailure(head ? entries.error() : head.error());
    }
    std::vector<std::uint64_t> numbers;
    for (const auto& entry : *entries) {
        if (auto number = parseNumber<std::uint64_t>(std::string_view(entry.key).substr(ticketPrefix.size()))) {
            numbers.push_back(*number);
        }
    }
    std::ranges::sort(numbers);
    std::vector<std::vector<std::string>> rows { { "TICKET", "STATE" } };
    json::array list;
    for (auto number : numbers) {
        auto state = std::string(describeState(number, *head));
        rows.push_back({ std::to_string(number), state });
        list.push_back(json::object { { "number", number }, { "state", state } });
    }
    co_return VerbResult { ExitCode::Done,
        format == OutputFormat::Json ? json::serialize(json::object { { "tickets", std::move(list) } }) + "\n"
                                     : formatTable(rows) };
}

asio::awaitable<VerbResult> diffTickets(
    ObjectStoreClient store, std::vector<std::string> arguments, OutputFormat format)
{
    auto from = parseTicketNumber(arguments[0]);
    auto to = parseTicketNumber(arguments[1]);
    if (!from || !to) {
        co_return makeFailure(from ? to.error() : from.error());
    }
    auto head = co_await readStoredHead(store);
    if (!head) {
        co_return makeFailure(head.error());
    }
    if (*from > *to || *to > head->number || *to - *from > maxDiffTickets) {
        co_return VerbResult { ExitCode::InvalidInput, "",
            fmt::format("give A and B with A <= B <= {} (the accepted number) and B - A <= {}\n", head->number,
                maxDiffTickets) };
    }
    std::map<std::pair<std::string, std::string>, std::pair<std::string, std::string>> changes;
    for (auto number = *from + 1; number <= *to; ++number) {
        auto object = co_await store.get(ticketKey(number));
        if (!object) {
            co_return makeFailure(object.error());
        }
        std::vector<std::vector<std::string>> rows;
        addObjectRows(parseStored(object->value), rows);
        for (auto& row : rows) {
            changes[{ row[0], row[1] }] = { std::to_string(number), row[2] };
        }
    }
    co_return VerbResult { ExitCode::Done, formatDiff(changes, format) };
}

} // namespace lagoonspoke
