#include "daemon/FleetService.h"

#include <catch2/catch.hpp>

#include "external/ObjectStoreClient.h"
#include "settings/JsonReader.h"
#include "standins/FleetStandin.h"
#include "standins/StoreStandin.h"

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

constexpr Duration callBound = 1s;
const DataCentreId dataCentre("a");

// A fleet service that holds the lease of one data centre while a token is set.
class FleetWorld {
public:
    FleetWorld()
        : m_storeServer(serve([this](HttpExchange& exchange) { return m_store.handle(exchange); }))
        , m_fleetServer(serve([this](HttpExchange& exchange) { return m_fleet.handle(exchange); }))
    {
    }

    std::unique_ptr<FleetService> makeService()
    {
        FleetService::Options options;
        options.sender = "i~1";
        options.dataCentres = { dataCentre };
        options.adjustInterval = 20ms;
        auto service = std::make_unique<FleetService>(m_io, options,
            std::make_shared<ObjectStoreClient>(m_storeServer->endpoint(), callBound), m_fleetServer->endpoint(),
            [this](const DataCentreId&) { return token; });
        service->start();
        return service;
    }

    void setFaults(std::string faults)
    {
        HttpCall call;
        call.method = "POST";
        call.target = "/faults";
        call.body = std::move(faults);
        perform(std::move(call));
    }

    boost::json::object runAndReadStats(Duration length)
    {
        m_io.run_for(length);
        HttpCall call;
        call.target = "/stats";
        return parseJson(perform(std::move(call))).value().as_object();
    }

    // The stand-in's log once it has that many servers and answered the last order, or after ten seconds.
    boost::json::object runUntilServers(std::int64_t servers)
    {
        auto end = readMonotonicClock() + 10s;
        auto stats = runAndReadStats(10ms);
        while (stats.at("servers").as_int64() != servers && readMonotonicClock() < end) {
            stats = runAndReadStats(10ms);
        }
        return stats;
    }

    std::optional<FencingToken> token = FencingToken(1);

private:
    std::unique_ptr<HttpServer> serve(HttpServer::Handler handler)
    {
        tcp::endpoint loopback(asio::ip::make_address("127.0.0.1"), 0);
        auto server = HttpServer::Make(m_io, loopback, {}, std::move(handler)).value();
        server->start();
        return server;
    }

    std::string perform(HttpCall call)
    {
        std::optional<std::string> body;
        asio::co_spawn(m_io, callHttp(m_fleetServer->endpoint(), std::move(call), callBound),
            [&](std::exception_ptr, Outcome<HttpReply> reply) { body = reply.value().body; });
        while (!body) {
            m_io.run_one();
        }
        return *body;
    }

    asio::io_context m_io { 1 };
    StoreStandin m_store;
    FleetStandin m_fleet;
    std::unique_ptr<HttpServer> m_storeServer;
    std::unique_ptr<HttpServer> m_fleetServer;
};

} // namespace

TEST_CASE("Demand leads to one start order for each missing server, also when an answer is lost")
{
    FleetWorld world;
    world.setFaults(R"({"lose_responses": 1})");
    auto service = world.makeService();
    service->applyDemand(TargetName("m"), { 2.5, 1.0, 0, 10, true });
    service->applyLease(dataCentre, world.token);
    CHECK(world.runUntilServers(3).at("servers").as_int64() == 3);
    // The order without an answer is sent again a second later.
    auto stats = world.runAndReadStats(1500ms);
    CHECK(stats.at("servers").as_int64() == 3);
    std::size_t repeated = 0;
    for (const auto& order : stats.at("orders").as_array()) {
        repeated += order.at("repeated").as_bool() ? 1 : 0;
    }
    CHECK(repeated == 1);
    CHECK(stats.at("stale_tokens").as_int64() == 0);
}

TEST_CASE("No order leaves while the term is too short, and the next holder sends what was left open")
{
    FleetWorld world;
    auto first = world.makeService();
    first->applyDemand(TargetName("m"), { 2.5, 1.0, 0, 10, true });
    world.token.reset();
    first->applyLease(dataCentre, FencingToken(1));
    auto stats = world.runAndReadStats(400ms);
    CHECK(stats.at("orders").as_array().empty());
    first->applyLease(dataCentre, std::nullopt);

    world.token = FencingToken(2);
    auto second = world.makeService();
    second->applyLease(dataCentre, world.token);
    stats = world.runUntilServers(3);
    CHECK(stats.at("servers").as_int64() == 3);
    for (const auto& order : stats.at("orders").as_array()) {
        CHECK(order.at("fencing_token").as_int64() == 2);
    }
}

TEST_CASE("Without spot servers the service asks for on-demand servers instead")
{
    FleetWorld world;
    world.setFaults(R"({"no_spot": true})");
    auto service = world.makeService();
    service->applyDemand(TargetName("m"), { 2.5, 0.0, 0, 10, true });
    service->applyLease(dataCentre, world.token);
    CHECK(world.runUntilServers(3).at("servers").as_int64() == 3);
}

} // namespace lagoonspoke
