#include "config/Ticket.h"

#include <random>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "config/Shards.h"
#include "lagoonspoke/config/ConfigurationSnapshot.h"

namespace lagoonspoke {

namespace {

constexpr std::string_view firstTicket = R"({ "ticket": 1, "objects": [
    { "kind": "tier", "name": "gold", "spec": { "level": 0, "guaranteed_share": 0.57 } },
    { "kind": "class", "name": "chat", "spec": { "tier": 0 } },
    { "kind": "service", "name": "billing", "spec": {} },
    { "kind": "route", "name": "bills", "spec": { "path_prefix": "/bills", "service": "billing", "class": "chat" } },
    { "kind": "deployment", "name": "llama", "spec": { "min_servers": 1, "max_servers": 2 } },
    { "kind": "installation", "name": "main", "spec": { "idle_timeout_ms": 5000 } },
    { "kind": "team", "name": "blue", "spec": { "classes": ["chat"], "weight": 1.1,
        "keys": ["ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"] } } ] })";

Configuration applyTo(const Configuration& before, std::string_view text)
{
    auto ticket = Ticket::Make(text);
    REQUIRE(ticket);
    auto after = ticket->apply(before);
    INFO((after ? "" : formatErrors(after.error())));
    REQUIRE(after);
    return *after;
}

std::string mistakesOf(const Configuration& before, std::string_view text)
{
    auto ticket = Ticket::Make(text);
    if (!ticket) {
        return formatErrors(ticket.error());
    }
    auto after = ticket->apply(before);
    return after ? "" : formatErrors(after.error());
}

BlobMap toBlobs(const ShardTexts& texts, ConfigurationHead& head)
{
    BlobMap blobs;
    for (std::size_t i = 0; i < shardCount; ++i) {
        head.shards[i] = digestContent(texts[i]);
        blobs.emplace(head.shards[i], texts[i]);
    }
    return blobs;
}

} // namespace

// Guards against an operator who has to submit once for each mistake, or who cannot find the field.
TEST_CASE("every mistake of a ticket is reported with the path of its field")
{
    REQUIRE(mistakesOf({}, R"({ "ticket": 0, "colour": 1, "objects": [
        { "kind": "teem", "name": "a", "spec": {} },
        { "kind": "team", "name": "", "spec": { "classes": [] } },
        { "kind": "team", "name": "b", "spec": { "classes": ["x"], "keys": ["zz"], "weigth": 1 } },
        { "kind": "team", "name": "b", "spec": null },
        { "kind": "installation", "name": "i", "spec": { "dns_timeout_ms": 5, "idle_timeout_ms": "5" } },
        { "kind": "class", "name": "c" } ] })")
        == "ticket: must be from 1 to 9223372036854775807, is 0\n"
           "colour: is not a known field\n"
           "objects[0].kind: must be one of tier, class, team, deployment, service, route, installation\n"
           "objects[1].name: must have 1 to 128 bytes and no control characters\n"
           "objects[3].name: team/b is listed at objects[2] already\n"
           "objects[5].spec: is missing; null deletes the object\n"
           "objects[2].spec.keys[0]: must be a SHA-256 digest in lower-case hexadecimal\n"
           "objects[2].spec.weigth: is not a known field\n"
           "objects[4].spec.idle_timeout_ms: must be a whole number\n"
           "objects[4].spec.dns_timeout_ms: is not a known field\n");
}

// Guards against a configuration in force that refers to objects it does not have.
TEST_CASE("references are checked against the resulting configuration and named at the ticket's field")
{
    auto before = applyTo({}, firstTicket);
    REQUIRE(mistakesOf(before, R"({ "ticket": 2, "objects": [
        { "kind": "class", "name": "chat", "spec": null },
        { "kind": "tier", "name": "silver", "spec": { "level": 0 } },
        { "kind": "tier", "name": "bronze", "spec": { "level": 3, "guaranteed_share": 0.6 } },
        { "kind": "team", "name": "red", "spec": { "classes": ["chat", "batch"],
          "keys": ["ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"] } },
        { "kind": "service", "name": "llama", "spec": {} },
        { "kind": "route", "name": "more", "spec": { "path_prefix": "/bills", "service": "shop", "class": "chat" } },
        { "kind": "team", "name": "green", "spec": null } ] })")
        == "objects[6].name: there is no team 'green' to delete\n"
           "objects[1].spec.level: is the level of tier 'gold' already\n"
           "objects[2].spec.guaranteed_share: the shares of all tiers add up to 1.17, above 1\n"
           "objects[0].spec: breaks classes[0] of team/blue: there is no class 'chat'\n"
           "objects[3].spec.classes[0]: there is no class 'chat'\n"
           "objects[3].spec.classes[1]: there is no class 'batch'\n"
           "objects[3].spec.keys[0]: is a key of team 'blue' already\n"
           "objects[4].name: a service and a deployment cannot have the same name\n"
           "objects[5].spec.service: there is no service 'shop'\n"
           "objects[5].spec.class: there is no class 'chat'\n"
           "objects[5].spec.path_prefix: is the prefix of route 'bills' already\n");
}

// Guards against a ticket of which one half is dropped without a word.
TEST_CASE("a field that appears twice is a mistake")
{
    REQUIRE(mistakesOf({}, R"({ "ticket": 1, "objects": [ { "kind": "service", "name": "a", "spec": {} },
        { "kind": "service", "name": "b", "spec": { "slots_per_server": 1, "slots_per_server": 2 } } ], "ticket": 1 })")
        == "objects[1].spec.slots_per_server: appears twice\n"
           "ticket: appears twice\n");
}

// Guards against a ticket whose effect depends on the order of its objects.
TEST_CASE("tiers exchange their levels within one ticket")
{
    auto before = applyTo({}, R"({ "ticket": 1, "objects": [ { "kind": "tier", "name": "a", "spec": { "level": 0 } },
        { "kind": "tier", "name": "b", "spec": { "level": 1 } } ] })");
    auto after = applyTo(before, R"({ "ticket": 2, "objects": [ { "kind": "tier", "name": "a", "spec": { "level": 1 } },
        { "kind": "tier", "name": "b", "spec": { "level": 0 } } ] })");
    REQUIRE(after.tiers.at(Tier { 0 }).name == "b");
    REQUIRE(after.tiers.at(Tier { 1 }).name == "a");
    REQUIRE(
        mistakesOf(after, R"({ "ticket": 3, "objects": [ { "kind": "tier", "name": "a", "spec": null } ] })").empty());
}

// Guards against shards that change their digest without a change, which every instance would fetch again.
TEST_CASE("a configuration read back from its shards has the same bytes")
{
    auto configuration = applyTo({}, firstTicket);
    for (int i = 1; i <= 200; ++i) {
        // Weights such as 0.57 are read one unit in the last place off by some decimal parsers.
        configuration = applyTo(configuration,
            fmt::format(R"({{ "ticket": {}, "objects": [ {{ "kind": "team", "name": "t{}", "spec": {{
                "classes": ["chat"], "weight": 0.{}7, "limits": {{ "tokens_per_second": {}.3 }} }} }} ] }})",
                i + 1, i, i, i * 4321));
    }
    ConfigurationHead head;
    auto texts = writeShards(configuration);
    auto blobs = toBlobs(texts, head);
    head.number = head.ticketNumber = 201;
    auto read = readShards(head, blobs);
    REQUIRE(read);
    REQUIRE(writeShards(*read) == texts);
    REQUIRE(read->installation->idleTimeout == std::chrono::seconds(5));
    REQUIRE(*readHead(writeHead(head)) == head);
}

// Guards against objects that stay after their shard changed, and against an order of shards that matters.
TEST_CASE("a configuration read from the changed shards equals one read whole")
{
    auto before = applyTo({}, firstTicket);
    before = applyTo(
        before, R"({ "ticket": 2, "objects": [ { "kind": "tier", "name": "low", "spec": { "level": 4 } } ] })");
    auto after = applyTo(before, R"({ "ticket": 3, "objects": [
        { "kind": "tier", "name": "gold", "spec": { "level": 4 } },
        { "kind": "tier", "name": "low", "spec": { "level": 0 } },
        { "kind": "route", "name": "bills", "spec": null },
        { "kind": "installation", "name": "main", "spec": null },
        { "kind": "installation", "name": "other", "spec": {} } ] })");
    ConfigurationHead formerHead;
    ConfigurationHead head;
    head.number = 3;
    auto blobs = toBlobs(writeShards(before), formerHead);
    blobs.merge(toBlobs(writeShards(after), head));
    auto changed = readChangedShards(head, blobs, formerHead, before);
    REQUIRE(changed);
    REQUIRE(changed->number == 3);
    REQUIRE(writeShards(*changed) == writeShards(after));
    REQUIRE(changed->tiers.at(Tier { 0 }).name == "low");
}

// Guards against a half or damaged configuration taking effect.
TEST_CASE("a configuration with a missing, damaged or misplaced shard is refused")
{
    ConfigurationHead head;
    auto texts = writeShards(applyTo({}, firstTicket));
    auto blobs = toBlobs(texts, head);
    auto shard = shardOf({ "team", "blue" });

    auto missing = blobs;
    missing.erase(head.shards[shard]);
    REQUIRE_FALSE(readShards(head, missing));

    auto damaged = blobs;
    damaged[head.shards[shard]] += " ";
    REQUIRE_FALSE(readShards(head, damaged));

    auto misplaced = head;
    std::swap(misplaced.shards[shard], misplaced.shards[(shard + 1) % shardCount]);
    REQUIRE_FALSE(readShards(misplaced, blobs));
}

// Guards against a resubmission refused for its white space alone.
TEST_CASE("the digest of a ticket depends on its content only")
{
    auto left = Ticket::Make(
        R"({"ticket":4,"objects":[{"kind":"tier","name":"a","spec":{"level":1,"guaranteed_share":0.50}}]})");
    auto right = Ticket::Make(
        R"({ "objects" : [ { "name":"a", "spec": { "guaranteed_share":0.5, "level": 1 }, "kind": "tier" } ], "ticket":4 })");
    REQUIRE(left->digest() == right->digest());
    REQUIRE(Ticket::Make(left->text())->digest() == left->digest());
}

// Guards against a ticket that ends the process, or that is accepted and then cannot be read by the instances.
TEST_CASE("damaged tickets are refused with a reason or give a readable configuration")
{
    constexpr std::string_view bytes = "{}[]\",:0123456789.eE-+ntf\\u\xff ";
    std::mt19937_64 random(1);
    int accepted = 0;
    for (int i = 0; i < 10'000; ++i) {
        std::string damaged(firstTicket);
        for (auto n = random() % 3; n > 0; --n) {
            damaged[random() % damaged.size()] = bytes[random() % bytes.size()];
        }
        auto ticket = Ticket::Make(damaged);
        auto after = ticket ? ticket->apply({}) : tl::make_unexpected(ticket.error());
        if (!after) {
            REQUIRE_FALSE(after.error().empty());
            continue;
        }
        ++accepted;
        ConfigurationHead head;
        auto texts = writeShards(*after);
        auto blobs = toBlobs(texts, head);
        auto read = readShards(head, blobs);
        REQUIRE(read);
        REQUIRE(writeShards(*read) == texts);
    }
    REQUIRE(accepted > 1000);
    // Heads are read from peers as well.
    for (int i = 0; i < 2000; ++i) {
        auto text = writeHead(makeInitialHead());
        text[random() % text.size()] = bytes[random() % bytes.size()];
        (void)readHead(text);
    }
}

} // namespace lagoonspoke
