#include "daemon/PeerService.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "external/PolledDirectory.h"
#include "http/Endpoint.h"
#include "http/HttpServer.h"

namespace lagoonspoke {

using namespace std::chrono_literals;

namespace {

// Three services on one event loop, with an instance list that the test writes.
struct PeerBed {
    PeerBed()
    {
        list = *HttpServer::Make(
            io, *parseEndpoint("127.0.0.1:0"), {}, [this](HttpExchange& exchange) -> asio::awaitable<void> {
                auto body = fmt::format(R"({{"instances": [{}], "servers": [{}]}})", instances, servers);
                co_await exchange.respond(http::status::ok, "application/json", std::move(body));
            });
        list->start();
        for (int i = 0; i < 3; ++i) {
            auto& it = settings[i];
            it.instance = InstanceId(fmt::format("e{}", i));
            it.dataCentre = DataCentreId("a");
            it.region = RegionId("riga");
            it.peerAddress = "127.0.0.1:0";
            services[i] = std::move(*PeerService::Make(io, it, std::make_shared<PolledDirectory>(list->endpoint())));
            instances += fmt::format(R"({}{{"id": "e{}", "data_centre": "a", "region": "riga", "peer_address": "{}"}})",
                i ? "," : "", i, services[i]->address());
        }
        for (auto& service : services) {
            service->start();
        }
    }

    ~PeerBed()
    {
        for (auto& service : services) {
            service->stop();
        }
        list->closeListener();
        list->abortConnections();
        io.poll();
    }

    // Runs the loop until the condition holds; the bound only ends a test that would hang.
    bool runUntil(const std::function<bool()>& condition)
    {
        auto end = std::chrono::steady_clock::now() + 20s;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            io.run_one_for(50ms);
        }
        return condition();
    }

    asio::io_context io;
    std::unique_ptr<HttpServer> list;
    std::string instances;
    std::string servers;
    DaemonSettings settings[3];
    std::unique_ptr<PeerService> services[3];
};

} // namespace

// Guards against messages that are lost, reordered or given to another channel, over a link that opens on first use.
TEST_CASE("messages reach a peer in order on their channel")
{
    PeerBed bed;
    std::vector<std::string> received;
    bed.services[1]->setReceiver(PeerChannel::Usage, [&](const InstanceId& from, std::string_view payload) {
        received.push_back(from.value() + std::string(payload.substr(0, 4)));
    });
    REQUIRE(bed.runUntil([&] { return bed.services[0]->members().size() == 3; }));
    bed.services[0]->send(InstanceId("e1"), PeerChannel::HandOver, "other");
    for (int i = 0; i < 50; ++i) {
        bed.services[0]->send(InstanceId("e1"), PeerChannel::Usage, fmt::format("{:04}", i) + std::string(20'000, 'x'));
    }
    REQUIRE(bed.runUntil([&] { return received.size() == 50; }));
    for (int i = 0; i < 50; ++i) {
        REQUIRE(received[static_cast<std::size_t>(i)] == fmt::format("e0{:04}", i));
    }
}

// Guards against a sender that never learns that its messages were lost.
TEST_CASE("the loss of a peer is reported")
{
    PeerBed bed;
    InstanceId lost;
    int received = 0;
    bed.services[0]->setPeerLost([&](const InstanceId& peer) { lost = peer; });
    bed.services[2]->setReceiver(PeerChannel::Usage, [&](const InstanceId&, std::string_view) { ++received; });
    REQUIRE(bed.runUntil([&] { return bed.services[0]->members().size() == 3; }));
    bed.services[0]->send(InstanceId("e2"), PeerChannel::Usage, "x");
    REQUIRE(bed.runUntil([&] { return received == 1; }));
    bed.services[2]->stop();
    REQUIRE(bed.runUntil([&] { return lost == InstanceId("e2"); }));
}

// Guards against rumours and leaving servers that stay with the instance that heard of them.
TEST_CASE("rumours and servers reach the other instances")
{
    PeerBed bed;
    std::vector<std::string> heard;
    std::vector<BackendServer> servers;
    bed.services[1]->setRumourReceiver([&](const Rumour& rumour) { heard.push_back(rumour.key + rumour.payload); });
    bed.services[1]->setServersChanged([&](std::vector<BackendServer> list) { servers = std::move(list); });
    REQUIRE(bed.runUntil([&] { return bed.services[0]->members().size() == 3; }));
    bed.services[0]->publish({ "config/head", 3, "abc" });
    REQUIRE(bed.runUntil([&] { return !heard.empty(); }));
    REQUIRE(heard[0] == "config/headabc");
    bed.servers = R"({"id": "s1", "data_centre": "a", "target": "m", "address": "127.0.0.1:1", "leaving": true})";
    REQUIRE(bed.runUntil([&] { return servers.size() == 1 && servers[0].leaving; }));
}

} // namespace lagoonspoke
