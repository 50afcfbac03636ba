#include "tools/ctl/Verbs.h"

#include <boost/json.hpp>

#include "external/StoreHarnessTest.h"
#include "external/TicketSubmitter.h"
#include "lagoonspoke/core/Digest.h"
#include "tools/ctl/CommandTable.h"

namespace lagoonspoke {

namespace {

VerbResult runVerb(test::StoreHarness& store, std::vector<std::string> words, OutputFormat format = OutputFormat::Json)
{
    auto command = findCommand(words);
    REQUIRE(command.verb);
    REQUIRE(command.arguments.size() == command.verb->argumentCount);
    return store.run(command.verb->run(store.client(), command.arguments, format));
}

std::string field(const VerbResult& result, std::string_view name)
{
    auto value = boost::json::parse(result.output);
    const auto& text = value.as_object().at(name);
    return text.is_string() ? std::string(text.get_string()) : boost::json::serialize(text);
}

void submitBase(test::StoreHarness& store)
{
    auto ticket = Ticket::Make(R"({ "ticket": 1, "objects": [
        { "kind": "tier", "name": "gold", "spec": { "level": 0 } },
        { "kind": "class", "name": "chat", "spec": { "tier": 0 } },
        { "kind": "team", "name": "blue", "spec": { "classes": ["chat"], "weight": 3 } } ] })");
    REQUIRE(ticket);
    TicketSubmission::Options options;
    REQUIRE(store.run(submitTicket(store.client(), *ticket, options)).result.status == SubmissionStatus::Accepted);
}

} // namespace

// Guards against a key in the store, and against a ticket that resets the rest of the team.
TEST_CASE("an issued key is shown once, stored as its digest and can be withdrawn")
{
    test::StoreHarness store;
    submitBase(store);
    auto issued = runVerb(store, { "key", "issue", "blue" });
    REQUIRE(issued.code == ExitCode::Done);
    auto key = field(issued, "key");
    REQUIRE(key.starts_with("lsk_"));
    REQUIRE(key.size() == 4 + 43);
    auto digest = digestKey(key);
    REQUIRE(field(issued, "digest") == digest.value());

    auto stored = store.run(readConfiguration(store.client()));
    auto team = stored->configuration.teams.at(TeamId("blue"));
    REQUIRE(team.keys == std::vector<KeyDigest> { digest });
    REQUIRE(team.weight == 3);
    REQUIRE(runVerb(store, { "ticket", "show", "2" }).output.find(key) == std::string::npos);

    REQUIRE(runVerb(store, { "key", "withdraw", "blue", digest.value() }).code == ExitCode::Done);
    REQUIRE(store.run(readConfiguration(store.client()))->configuration.teams.at(TeamId("blue")).keys.empty());
    REQUIRE(runVerb(store, { "key", "withdraw", "blue", digest.value() }).code == ExitCode::InvalidInput);
    REQUIRE(runVerb(store, { "key", "issue", "nobody" }).code == ExitCode::InvalidInput);
}

// Guards against an issued key that is lost because another operator changed the configuration at the same time.
TEST_CASE("keys issued at the same time for one team are both kept")
{
    test::StoreHarness store;
    submitBase(store);
    std::vector<ExitCode> codes;
    std::vector<std::string> arguments { "blue" };
    for (int i = 0; i < 2; ++i) {
        asio::co_spawn(store.io(), issueKey(store.client(), arguments, OutputFormat::Json),
            [&](const std::exception_ptr&, const VerbResult& it) { codes.push_back(it.code); });
    }
    while (codes.size() < 2) {
        store.io().run_one();
    }
    REQUIRE(codes == std::vector<ExitCode> { ExitCode::Done, ExitCode::Done });
    REQUIRE(store.run(readConfiguration(store.client()))->configuration.teams.at(TeamId("blue")).keys.size() == 2);
}

TEST_CASE("list, diff and status tell accepted tickets from one left behind")
{
    test::StoreHarness store;
    submitBase(store);
    runVerb(store, { "key", "issue", "blue" });
    REQUIRE(store.run(store.client().create("config/ticket/3", "{}")));
    REQUIRE(runVerb(store, { "ticket", "list" }, OutputFormat::Table).output
        == "TICKET  STATE\n1       accepted\n2       accepted\n3       not accepted\n");
    REQUIRE(field(runVerb(store, { "status" }), "number") == "2");
    REQUIRE(field(runVerb(store, { "status" }), "next_ticket_object_exists") == "true");
    auto changes = runVerb(store, { "ticket", "diff", "1", "2" }, OutputFormat::Table).output;
    REQUIRE(changes.find("team  blue  2") != std::string::npos);
    REQUIRE(changes.find("chat  1") == std::string::npos);
    REQUIRE(runVerb(store, { "ticket", "diff", "1", "3" }).code == ExitCode::InvalidInput);
    REQUIRE(runVerb(store, { "ticket", "show", "9" }).code == ExitCode::Failed);
    store.setFaults(R"({"down": true})");
    REQUIRE(runVerb(store, { "status" }).code == ExitCode::Unavailable);
}

} // namespace lagoonspoke
