#include "daemon/ServerListExchange.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "wire/ConfigurationCodec.h"

namespace lagoonspoke {

namespace {

// Servers as of revision 9.
class FixedDirectory final : public InstanceDirectory {
public:
    explicit FixedDirectory(bool current)
        : m_current(current)
    {
    }

    void start(asio::io_context&, const std::string&, Sink) override { }
    void stop() override { }
    bool isCurrent() const override { return m_current; }
    std::uint64_t serversRevision() const override { return 9; }
    std::string shareServers() const override { return "servers"; }

private:
    bool m_current;
};

// An instance of a data centre with 20, and what it sends.
struct ExchangeFixture {
    ExchangeFixture(int self, bool current)
        : exchange(io, { InstanceId(fmt::format("{}", self)), DataCentreId("a") },
            std::make_shared<FixedDirectory>(current),
            { [this](const InstanceId& to, std::string payload) {
                 sent.emplace_back(to, *decodeConfigurationMessage(payload));
             },
                [](bool) {} })
    {
        std::vector<Member> members;
        members.reserve(20);
        for (int i = 0; i < 20; ++i) {
            members.push_back(
                { InstanceId(fmt::format("{}", i)), DataCentreId("a"), RegionId("r"), "", makeIncarnation(5) });
        }
        exchange.setMembers(members);
    }

    // The payloads of the lists sent to the asker after its question.
    std::vector<std::optional<std::string>> ask(std::uint64_t revision)
    {
        sent.clear();
        exchange.receive(InstanceId("asker"), encodeConfigurationMessage(HeadNotice { revision, {}, true }));
        std::vector<std::optional<std::string>> lists;
        for (const auto& [to, message] : sent) {
            CHECK(to == InstanceId("asker"));
            lists.push_back(std::get<BlobReply>(message).content);
        }
        return lists;
    }

    asio::io_context io;
    std::vector<std::pair<InstanceId, ConfigurationMessage>> sent;
    ServerListExchange exchange;
};

const std::vector<std::optional<std::string>> theList { "servers" };

} // namespace

// Guards against a dispatcher that the store turns away and that grants requests to leaving servers until one of the
// few readers happens to be among the peers that it asks.
TEST_CASE("Instances that do not read the store tell a cut-off peer of newer servers")
{
    int listeners = 0;
    for (int self = 0; self < 20; ++self) {
        ExchangeFixture fixture(self, false);
        listeners += fixture.exchange.reads() ? 0 : 1;
        // A reader that is cut off itself is no help.
        CHECK(fixture.ask(8) == (fixture.exchange.reads() ? decltype(theList) {} : theList));
    }
    CHECK(listeners == 18);
}

TEST_CASE("A peer that knows the servers already is not sent the list again")
{
    for (int self = 0; self < 20; ++self) {
        ExchangeFixture fixture(self, true);
        CHECK(fixture.ask(8) == theList);
        CHECK(fixture.ask(9).empty());
    }
}

TEST_CASE("A cut-off reader asks peers for servers newer than its own")
{
    for (int self = 0; self < 20; ++self) {
        ExchangeFixture fixture(self, false);
        fixture.exchange.start();
        fixture.io.poll();
        REQUIRE(fixture.sent.size() == (fixture.exchange.reads() ? 2 : 0));
        for (const auto& [to, message] : fixture.sent) {
            const auto& ask = std::get<HeadNotice>(message);
            CHECK(ask.replyWanted);
            CHECK(ask.number == 9);
        }
    }
}

} // namespace lagoonspoke
