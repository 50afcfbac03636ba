#include <functional>

#include <catch2/catch.hpp>

#include "daemon/LeaseService.h"
#include "daemon/UsageService.h"
#include "external/ObjectStoreClient.h"
#include "external/UsageClient.h"
#include "lagoonspoke/core/Text.h"
#include "settings/JsonReader.h"
#include "standins/StoreStandin.h"
#include "standins/UsageStandin.h"

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

constexpr Duration callBound = 1s;

template <typename Standin> struct Served {
    explicit Served(asio::io_context& io)
        : server(HttpServer::Make(
            io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0), {}, [this](HttpExchange& exchange) {
                return standin.handle(exchange);
            }).value())
    {
        server->start();
    }

    Standin standin;
    std::unique_ptr<HttpServer> server;
};

// One instance's lease and usage services.
struct Instance {
    Instance(asio::io_context& io, const ObjectStorePtr& store, const tcp::endpoint& usageInterface,
        const std::string& name, UsageService::SendToPeer send)
        : leases(io, store, InstanceId(name), name + "~1")
        , usage(io, { InstanceId(name), InstanceId(name + "~1"), DataCentreId(name), RegionId("r"), 300ms }, store,
              std::make_shared<UsageClient>(usageInterface, name + "~1", callBound), std::move(send),
              [this] { return leases.mayAct(LeaseService::usageLease()); })
    {
        leases.setChanged([this](const std::string& lease, std::optional<FencingToken> token) {
            if (lease == LeaseService::usageLease()) {
                usage.applyLease(token);
            }
        });
    }

    LeaseService leases;
    UsageService usage;
};

class Installation {
public:
    Installation()
        : m_store(m_io)
        , m_usage(m_io)
        , m_client(std::make_shared<ObjectStoreClient>(m_store.server->endpoint(), callBound))
    {
        for (const auto* name : { "a", "b", "c" }) {
            add(name);
        }
        for (auto& [name, instance] : m_instances) {
            instance->leases.applyMembers(m_members);
            instance->usage.applyMembers(m_members);
            instance->leases.start();
            instance->usage.start();
        }
    }

    // Runs until the condition holds; false after the bound.
    bool runUntil(const std::function<bool()>& condition, Duration bound)
    {
        auto end = readMonotonicClock() + bound;
        while (!condition() && readMonotonicClock() < end) {
            m_io.run_for(std::chrono::milliseconds(10));
        }
        return condition();
    }

    void record(const std::string& name, int count)
    {
        for (int i = 0; i < count; ++i) {
            UsageRecord record;
            record.team = TeamId("team");
            record.promptTokens = Tokens { 10 };
            record.outputTokens = Tokens { 3 };
            asio::co_spawn(
                m_io, m_instances.at(name)->usage.record(record), [this](std::exception_ptr) { ++recorded; });
        }
    }

    void poll() { asio::co_spawn(m_io, readTotals(), asio::detached); }

    int recorded = 0;
    std::int64_t requests = 0;
    std::int64_t outputTokens = 0;
    std::int64_t faults = 0;

private:
    void add(const std::string& name)
    {
        Member member;
        member.id = InstanceId(name);
        member.dataCentre = DataCentreId(name);
        member.region = RegionId("r");
        m_members.push_back(member);
        auto send = [this, name](const InstanceId& to, std::string payload) {
            asio::post(m_io, [this, name, to, payload = std::move(payload)] { deliver(name, to.value(), payload); });
        };
        m_instances.emplace(
            name, std::make_unique<Instance>(m_io, m_client, m_usage.server->endpoint(), name, std::move(send)));
    }

    void deliver(const std::string& from, const std::string& to, const std::string& payload)
    {
        m_instances.at(to)->usage.receive(InstanceId(from), payload);
    }

    asio::awaitable<void> readTotals()
    {
        HttpCall call;
        call.target = "/stats";
        auto reply = co_await callHttp(m_usage.server->endpoint(), std::move(call), callBound);
        auto value = parseJson(reply->body).value();
        const auto& stats = value.as_object();
        faults = stats.at("different_figures").as_int64() + stats.at("overlapping_claims").as_int64();
        if (const auto* team = stats.at("totals").as_object().if_contains("team")) {
            requests = team->at("requests").as_int64();
            outputTokens = team->at("output_tokens").as_int64();
        }
    }

    asio::io_context m_io { 1 };
    Served<StoreStandin> m_store;
    Served<UsageStandin> m_usage;
    ObjectStorePtr m_client;
    std::vector<Member> m_members;
    std::map<std::string, std::unique_ptr<Instance>> m_instances;
};

} // namespace

TEST_CASE("Usage of three instances reaches the usage interface once, through leases, seals and the store")
{
    Installation installation;
    installation.record("a", 5);
    installation.record("b", 7);
    CHECK(installation.runUntil([&] { return installation.recorded == 12; }, 2s));
    auto isReported = [&] {
        installation.poll();
        return installation.requests >= 12;
    };
    CHECK(installation.runUntil(isReported, 20s));
    CHECK(installation.requests == 12);
    CHECK(installation.outputTokens == 36);
    CHECK(installation.faults == 0);
}

} // namespace lagoonspoke
