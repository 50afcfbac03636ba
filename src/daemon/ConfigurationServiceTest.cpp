#include "daemon/ConfigurationService.h"

#include <algorithm>
#include <map>

#include <fmt/format.h>

#include "external/StoreHarnessTest.h"
#include "external/TicketSubmitter.h"

namespace lagoonspoke {

namespace {

// Instances of one data centre whose messages pass through the io_context.
class Cluster {
public:
    struct Instance {
        std::unique_ptr<ConfigurationService> service;
        std::vector<std::uint64_t> applied;
        bool admission = false;
    };

    Instance& add(const std::string& name)
    {
        DaemonSettings settings;
        settings.instance = InstanceId(name);
        settings.dataCentre = DataCentreId("dc");
        auto& instance = m_instances[settings.instance];
        ConfigurationPeers peers;
        peers.send = [this, from = settings.instance](const InstanceId& to, std::string payload) {
            asio::post(store.io(), [this, from, to, payload = std::move(payload)] {
                if (auto it = m_instances.find(to); it != m_instances.end()) {
                    it->second.service->handlePeerMessage(from, payload);
                }
            });
        };
        peers.publish = [](const Rumour&) {};
        ConfigurationService::Callbacks callbacks;
        callbacks.applySnapshot
            = [&instance](const SnapshotPtr& snapshot) { instance.applied.push_back(snapshot->number()); };
        callbacks.setKeyedAdmission = [&instance](bool allowed) { instance.admission = allowed; };
        instance.service = std::make_unique<ConfigurationService>(store.io(), settings,
            std::make_shared<ObjectStoreClient>(store.client()), std::move(peers), std::move(callbacks));
        m_members.push_back({ settings.instance, settings.dataCentre, RegionId("r"), "" });
        for (auto& [id, it] : m_instances) {
            it.service->handleMembers(m_members);
        }
        instance.service->start();
        return instance;
    }

    void submit(std::uint64_t number)
    {
        auto ticket = Ticket::Make(fmt::format(
            R"({{ "ticket": {0}, "objects": [ {{ "kind": "service", "name": "s{0}", "spec": {{}} }} ] }})", number));
        TicketSubmission::Options options;
        REQUIRE(store.run(submitTicket(store.client(), *ticket, options)).result.status == SubmissionStatus::Accepted);
    }

    template <typename Condition> void runUntil(Condition condition)
    {
        while (!condition()) {
            store.io().run_one();
        }
    }

    test::StoreHarness store;

private:
    std::map<InstanceId, Instance> m_instances;
    std::vector<Member> m_members;
};

} // namespace

// Guards against instances that miss a ticket or apply one twice.
TEST_CASE("every instance applies every accepted ticket from the store or its peers")
{
    Cluster cluster;
    std::vector<Cluster::Instance*> instances;
    for (auto name : { "a", "b", "c", "d" }) {
        instances.push_back(&cluster.add(name));
    }
    for (std::uint64_t number = 1; number <= 3; ++number) {
        cluster.submit(number);
        cluster.runUntil([&] {
            return std::ranges::all_of(instances, [&](const auto* it) { return it->service->number() == number; });
        });
    }
    for (const auto* instance : instances) {
        REQUIRE(instance->applied == std::vector<std::uint64_t> { 1, 2, 3 });
        REQUIRE(instance->admission);
    }
}

TEST_CASE("a fresh instance starts from its peers while the store is down")
{
    Cluster cluster;
    auto& first = cluster.add("a");
    cluster.submit(1);
    cluster.runUntil([&] { return first.service->number() == 1; });
    cluster.store.setFaults(R"({"down": true})");
    auto& fresh = cluster.add("b");
    cluster.runUntil([&] { return fresh.service->number() == 1 && fresh.admission; });
    REQUIRE(fresh.applied == std::vector<std::uint64_t> { 1 });
}

} // namespace lagoonspoke
