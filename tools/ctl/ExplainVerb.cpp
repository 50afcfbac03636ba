#include <iostream>

#include <boost/json.hpp>
#include <fmt/format.h>

#include "tools/ctl/LogStory.h"
#include "tools/ctl/Verbs.h"

namespace lagoonspoke {

namespace json = boost::json;

asio::awaitable<VerbResult> explainRequest(ObjectStoreClient, std::vector<std::string> arguments, OutputFormat format)
{
    auto story = collectStory(std::cin, arguments.front());
    if (story.records.empty()) {
        co_return VerbResult { ExitCode::Failed, {},
            fmt::format("no line of these logs names the request {}\n", arguments.front()) };
    }
    if (format == OutputFormat::Json) {
        json::array records;
        for (const auto& record : story.records) {
            json::object fields;
            for (const auto& [name, value] : record.fields) {
                fields[name] = value;
            }
            records.push_back(std::move(fields));
        }
        auto body = json::object { { "records", std::move(records) }, { "conclusion", story.conclusion } };
        co_return VerbResult { ExitCode::Done, json::serialize(body) + "\n" };
    }
    std::string text;
    for (const auto& record : story.records) {
        text += record.text + "\n";
    }
    co_return VerbResult { ExitCode::Done, fmt::format("{}\n{}: {}\n", text, arguments.front(), story.conclusion) };
}

} // namespace lagoonspoke
