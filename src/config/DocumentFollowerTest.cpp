#include "config/DocumentFollower.h"

#include <catch2/catch.hpp>

#include "lagoonspoke/core/Text.h"

namespace lagoonspoke {

using namespace std::chrono_literals;

namespace {

// A document is its number in decimal.
tl::expected<Configuration, std::vector<Error>> decodeNumber(std::string_view text)
{
    auto number = parseNumber<std::uint64_t>(text);
    if (!number) {
        return tl::make_unexpected(std::vector { Error { ErrorCode::InvalidArgument, "not a number" } });
    }
    Configuration configuration;
    configuration.number = *number;
    return configuration;
}

struct Kit {
    Kit()
        : follower({}, decodeNumber)
    {
    }

    void send(const DocumentEvent& event) { actions = follower.handle(event, now); }
    void advance(Duration time)
    {
        now += time;
        actions = follower.advance(now);
    }
    template <typename Action> std::optional<Action> find() const
    {
        for (const auto& it : actions) {
            if (const auto* found = std::get_if<Action>(&it)) {
                return *found;
            }
        }
        return std::nullopt;
    }

    MonotonicTime now { 100s };
    DocumentFollower follower;
    std::vector<DocumentAction> actions;
};

const InstanceId peer("p");

} // namespace

// Guards against a configuration that goes back, by a peer that is behind or a stale read.
TEST_CASE("The highest number is in force, whoever gives it")
{
    Kit kit;
    kit.send(DocumentRead { "5" });
    REQUIRE(kit.find<ApplyDocument>());
    kit.send(DocumentReceived { peer, "4" });
    CHECK_FALSE(kit.find<ApplyDocument>());
    kit.send(DocumentReceived { peer, "8" });
    REQUIRE(kit.find<ApplyDocument>());
    kit.send(DocumentRead { "7" });
    CHECK_FALSE(kit.find<ApplyDocument>());
    CHECK(kit.follower.number() == 8);
}

// Guards against a document that cannot be read and takes the one in force away, or is reported again and again.
TEST_CASE("A document that cannot be read is reported once and leaves the one in force")
{
    Kit kit;
    kit.send(DocumentRead { "5" });
    kit.send(DocumentRead { "x" });
    CHECK(kit.find<ReportInvalidDocument>());
    kit.send(DocumentRead { "x" });
    CHECK_FALSE(kit.find<ReportInvalidDocument>());
    CHECK(kit.follower.number() == 5);
}

// Guards against an instance that the store turns away and that keeps withdrawn keys: it hears of a number and fetches
// the document, and asks while nobody tells it.
TEST_CASE("An instance that the store turns away hears of changes from its peers")
{
    Kit kit;
    kit.send(DocumentPeersChanged { { peer } });
    kit.send(DocumentRead { "5" });
    kit.send(DocumentStoreReachable { false });
    kit.send(DocumentNumberHeard { peer, 6, false });
    REQUIRE(kit.find<AskForDocument>());
    kit.send(DocumentReceived { peer, "6" });
    CHECK(kit.follower.number() == 6);
    kit.advance(1s);
    auto asked = kit.find<TellNumber>();
    REQUIRE(asked);
    CHECK(asked->replyWanted);
}

// Guards against an instance that stays at an old number because the peer that told it of the change is gone, while
// others have the document.
TEST_CASE("A document is asked of another peer when the one that told of it is silent")
{
    const InstanceId silent("silent");
    Kit kit;
    kit.send(DocumentPeersChanged { { peer, silent } });
    kit.send(DocumentRoleChanged { false, {} });
    kit.send(DocumentReceived { peer, "5" });
    kit.send(DocumentNumberHeard { silent, 6, false });
    REQUIRE(kit.find<AskForDocument>());
    CHECK(kit.find<AskForDocument>()->peer == silent);
    kit.send(DocumentNumberHeard { peer, 6, false });
    kit.advance(400ms);
    REQUIRE(kit.find<AskForDocument>());
    CHECK(kit.find<AskForDocument>()->peer == peer);
    kit.advance(400ms);
    REQUIRE(kit.find<AskForDocument>());
    CHECK(kit.find<AskForDocument>()->peer == silent);
    kit.send(DocumentPeersChanged { { peer } });
    kit.advance(400ms);
    REQUIRE(kit.find<AskForDocument>());
    CHECK(kit.find<AskForDocument>()->peer == peer);
    kit.send(DocumentReceived { peer, "6" });
    kit.advance(400ms);
    CHECK_FALSE(kit.find<AskForDocument>());
}

// Guards against documents that travel between peers although the store gives them to everybody.
TEST_CASE("The store has a head start before a peer is asked")
{
    Kit kit;
    kit.send(DocumentStoreReachable { true });
    kit.send(DocumentRead { "5" });
    kit.send(DocumentNumberHeard { peer, 6, false });
    CHECK_FALSE(kit.find<AskForDocument>());
    kit.send(DocumentRead { "6" });
    kit.advance(1s);
    CHECK_FALSE(kit.find<AskForDocument>());
}

// Guards against a peer that is behind and stays so.
TEST_CASE("A peer that asks is told, and gets the document that it wants")
{
    Kit kit;
    kit.send(DocumentRead { "5" });
    kit.send(DocumentNumberHeard { peer, 3, true });
    REQUIRE(kit.find<TellNumber>());
    CHECK(kit.find<TellNumber>()->number == 5);
    kit.send(DocumentWanted { peer });
    REQUIRE(kit.find<SendDocument>());
    CHECK(kit.find<SendDocument>()->text == "5");
}

// Guards against listeners that a reader forgets, and against listeners that tell everybody as well.
TEST_CASE("A reader tells its listeners, and a listener asks now and then")
{
    Kit reader;
    reader.send(DocumentRoleChanged { true, { InstanceId("a"), InstanceId("b") } });
    reader.send(DocumentRead { "5" });
    REQUIRE(reader.find<TellNumber>());
    CHECK(reader.find<TellNumber>()->peers.size() == 2);
    Kit listener;
    listener.send(DocumentPeersChanged { { peer } });
    listener.send(DocumentRoleChanged { false, {} });
    listener.send(DocumentReceived { peer, "5" });
    CHECK_FALSE(listener.find<TellNumber>());
    listener.advance(1s);
    CHECK(listener.find<TellNumber>());
}

// Guards against an instance that starts after the store was restored from a copy and serves by an older configuration
// than the one that was confirmed.
TEST_CASE("A new instance asks its peers for a newer document, and those whose store went back tell of theirs")
{
    Kit kit;
    kit.send(DocumentPeersChanged { { peer } });
    kit.send(DocumentStoreReachable { true });
    kit.send(DocumentRead { "5" });
    auto told = kit.find<TellNumber>();
    REQUIRE(told);
    CHECK(std::ranges::any_of(kit.actions, [](const auto& it) {
        const auto* tells = std::get_if<TellNumber>(&it);
        return tells && tells->replyWanted;
    }));
    kit.send(DocumentNumberHeard { peer, 8, false });
    kit.advance(200ms);
    CHECK(kit.find<AskForDocument>());
    kit.send(DocumentReceived { peer, "8" });
    REQUIRE(kit.find<ApplyDocument>());
    kit.advance(3s);
    kit.advance(1s);
    CHECK_FALSE(kit.find<TellNumber>());

    kit.send(DocumentRead { "6" });
    CHECK_FALSE(kit.find<ApplyDocument>());
    auto kept = kit.find<KeepDocument>();
    REQUIRE(kept);
    CHECK(kept->storedNumber == 6);
    CHECK(kept->number == 8);
    CHECK(kit.follower.text() == "8");
    told = kit.find<TellNumber>();
    REQUIRE(told);
    CHECK(told->number == 8);
    CHECK(kit.follower.number() == 8);
}

// Guards against an instance that found an old copy of the document, and does not ask its peers for a newer one.
TEST_CASE("A new instance asks its peers also when it had a document before it read the store's")
{
    Kit kit;
    kit.send(DocumentPeersChanged { { peer } });
    kit.send(DocumentStoreReachable { true });
    kit.send(DocumentReceived { InstanceId("self"), "5" });
    kit.advance(1s);
    kit.send(DocumentRead { "6" });
    auto told = kit.find<TellNumber>();
    REQUIRE(told);
    CHECK(std::ranges::any_of(kit.actions, [](const auto& it) {
        const auto* tells = std::get_if<TellNumber>(&it);
        return tells && tells->replyWanted;
    }));
}

} // namespace lagoonspoke
