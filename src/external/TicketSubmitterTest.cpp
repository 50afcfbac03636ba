#include "external/TicketSubmitter.h"

#include <fmt/format.h>

#include "external/StoreHarnessTest.h"

namespace lagoonspoke {

namespace {

Ticket makeTicket(std::string_view text)
{
    auto ticket = Ticket::Make(text);
    REQUIRE(ticket);
    return *ticket;
}

constexpr std::string_view tierTicket
    = R"({ "ticket": 1, "objects": [ { "kind": "tier", "name": "gold", "spec": { "level": 0 } } ] })";

constexpr TicketSubmission::Options quickRetries { .retryDelay = std::chrono::milliseconds(1) };

} // namespace

// Guards against a client that takes a lost response for a refusal: the write took effect in the store.
TEST_CASE("a ticket is accepted by the object store although every write's first response is lost")
{
    test::StoreHarness store;
    for (int lost = 1; lost <= 4; ++lost) {
        store.setFaults(fmt::format(R"({{"lose_write_responses": {}}})", lost));
        auto ticket = makeTicket(fmt::format(
            R"({{ "ticket": {0}, "objects": [ {{ "kind": "service", "name": "s{0}", "spec": {{}} }} ] }})", lost));
        auto submitted = store.run(submitTicket(store.client(), ticket, quickRetries));
        REQUIRE(submitted.result.status == SubmissionStatus::Accepted);
        auto stored = store.run(readConfiguration(store.client()));
        REQUIRE(stored);
        REQUIRE(stored->configuration.number == static_cast<std::uint64_t>(lost));
        REQUIRE(stored->configuration.services.size() == static_cast<std::size_t>(lost));
    }
}

TEST_CASE("two submissions of one number at once have one winner")
{
    test::StoreHarness store;
    REQUIRE(store.run(submitTicket(store.client(), makeTicket(tierTicket), quickRetries)).result.status
        == SubmissionStatus::Accepted);
    std::vector<SubmissionStatus> statuses;
    for (auto name : { "a", "b" }) {
        auto ticket = makeTicket(fmt::format(
            R"({{ "ticket": 2, "objects": [ {{ "kind": "service", "name": "{}", "spec": {{}} }} ] }})", name));
        TicketSubmission::Options options { .grace = std::chrono::milliseconds(20) };
        asio::co_spawn(store.io(), submitTicket(store.client(), ticket, options),
            [&](const std::exception_ptr&, const SubmittedTicket& it) { statuses.push_back(it.result.status); });
    }
    while (statuses.size() < 2) {
        store.io().run_one();
    }
    REQUIRE(std::ranges::count(statuses, SubmissionStatus::Accepted) == 1);
    REQUIRE(std::ranges::count(statuses, SubmissionStatus::RaceLost) == 1);
}

TEST_CASE("a store that is down leaves the ticket out and says so")
{
    test::StoreHarness store;
    store.setFaults(R"({"down": true})");
    auto submitted = store.run(submitTicket(store.client(), makeTicket(tierTicket), quickRetries));
    REQUIRE(submitted.result.status == SubmissionStatus::Unavailable);
}

// Guards against polling bills that nobody can check: every call and every waiting watch is charged.
TEST_CASE("the stand-in counts calls by kind and waiting watches")
{
    test::StoreHarness store;
    REQUIRE(store.run(store.client().create("k", "v")));
    auto version = store.run(store.client().get("k"))->version;
    bool ended = false;
    auto client = store.client();
    asio::co_spawn(store.io(), client.watch("k", version, std::chrono::milliseconds(200)),
        [&](const std::exception_ptr&, const Outcome<std::optional<StoredObject>>&) { ended = true; });
    while (store.stats().find("\"waiting_watches\":1") == std::string::npos) { }
    REQUIRE(store.stats().find(R"("calls":{"get":1,"put":1,"watch":1})") != std::string::npos);
    while (!ended) {
        store.io().run_one();
    }
    REQUIRE(store.stats().find("\"waiting_watches\":0") != std::string::npos);
}

} // namespace lagoonspoke
