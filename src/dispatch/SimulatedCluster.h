#pragma once

#include <functional>
#include <map>
#include <queue>
#include <random>

#include <fmt/format.h>

#include "dispatch/routing/PlacementRouter.h"
#include "lagoonspoke/core/Overload.h"

namespace lagoonspoke {

// For tests: a dispatcher that grants in order of arrival while slots are free.
class SimulatedDispatcher {
public:
    std::vector<SendToEntry> handle(const DispatchEvent& event)
    {
        if (const auto* lost = std::get_if<EntryLost>(&event)) {
            removeEntry(lost->entry);
        } else if (const auto* received = std::get_if<EntryMessageReceived>(&event)) {
            handleMessage(received->entry, received->message);
        }
        std::vector<SendToEntry> sends;
        while (activeGrants.size() < slots && !queue.empty()) {
            auto [entry, place] = queue.front();
            queue.erase(queue.begin());
            activeGrants[{ place.request, ++lastGrant }] = entry;
            sends.push_back({ entry, Grant { place.request, GrantId(lastGrant), BackendServerId("s1"), "a:1", {} } });
        }
        return sends;
    }

    std::vector<std::pair<InstanceId, PlaceRequest>> queue;
    std::map<std::pair<RequestId, std::uint64_t>, InstanceId> activeGrants;
    std::size_t slots = 10;
    std::uint64_t lastGrant = 0;

private:
    void removeEntry(const InstanceId& entry)
    {
        std::erase_if(queue, [&](const auto& it) { return it.first == entry; });
        std::erase_if(activeGrants, [&](const auto& it) { return it.second == entry; });
    }

    void handleMessage(const InstanceId& entry, const EntryMessage& message)
    {
        auto removeFromQueue = [&](const RequestId& id) {
            std::erase_if(queue, [&](const auto& it) { return it.second.request == id; });
        };
        std::visit(Overload {
                       [&](const PlaceRequest& it) {
                           removeFromQueue(it.request);
                           queue.emplace_back(entry, it);
                       },
                       [&](const Progress& it) {
                           if (it.finished) {
                               activeGrants.erase({ it.request, static_cast<std::uint64_t>(it.grant) });
                           }
                       },
                       [&](const Withdraw& it) { removeFromQueue(it.request); },
                       [&](const Resync& it) {
                           removeEntry(entry);
                           for (const auto& place : it.waiting) {
                               queue.emplace_back(entry, place);
                           }
                           for (const auto& grant : it.held) {
                               activeGrants[{ grant.request.request, static_cast<std::uint64_t>(grant.grant) }] = entry;
                               auto number = static_cast<std::uint64_t>(grant.grant);
                               lastGrant = std::max<std::uint64_t>(lastGrant, number >> 63 ? 0 : number);
                           }
                       },
                   },
            message);
    }
};

// For tests: instances with routers and simulated dispatchers on a virtual clock. Instances can be killed and
// restarted; each of the others observes the change 3 to 4 s later, at a time of its own.
class SimulatedCluster {
public:
    struct Node {
        PlacementRouter router;
        std::map<DomainId, SimulatedDispatcher> dispatchers {};
        std::uint64_t generation = 0;
        bool running = true;
        std::vector<Member> view {};
        MonotonicTime wakeAt {};
    };

    SimulatedCluster(int n, std::uint64_t seed)
        : m_random(seed)
    {
        for (int i = 0; i < n; ++i) {
            start(idOf(i));
        }
        for (auto& [id, node] : m_nodes) {
            handle(id, MembersUpdated { actualMembers() });
        }
    }
    SimulatedCluster(const SimulatedCluster&) = delete;
    SimulatedCluster& operator=(const SimulatedCluster&) = delete;

    static InstanceId idOf(int i) { return InstanceId(fmt::format("e{}", i)); }
    Node& node(const InstanceId& id) { return m_nodes.at(id); }
    MonotonicTime now() const { return m_now; }
    std::mt19937_64& random() { return m_random; }
    bool isRunning(int i) { return m_nodes.at(idOf(i)).running; }

    void after(Duration delay, std::function<void()> action)
    {
        m_events.push({ m_now + delay, ++m_order, std::move(action) });
    }

    void run(Duration duration)
    {
        auto end = m_now + duration;
        while (!m_events.empty() && m_events.top().time <= end) {
            auto event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.action();
        }
        m_now = end;
    }

    void kill(const InstanceId& id)
    {
        m_nodes.at(id).running = false;
        ++m_nodes.at(id).generation;
        propagateMembership();
    }

    void restart(const InstanceId& id)
    {
        start(id);
        handle(id, MembersUpdated { actualMembers() });
        propagateMembership();
    }

    void handle(const InstanceId& id, const RouterEvent& event)
    {
        auto& it = m_nodes.at(id);
        if (it.running) {
            execute(id, it.router.handle(event, m_now));
        }
    }

    std::function<void(const InstanceId& entry, const DispatcherMessage&)> delivered;
    double messageLoss = 0; // probability; each loss is reported to the sender as PeerLost, as for a broken link
    std::vector<BackendServer> servers;

private:
    struct Event {
        MonotonicTime time;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const Event& other) const
        {
            return time != other.time ? time > other.time : order > other.order;
        }
    };

    Duration randomDelay(std::chrono::milliseconds least, std::chrono::milliseconds most)
    {
        return std::chrono::milliseconds(
            std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(m_random));
    }

    void start(const InstanceId& id)
    {
        auto generation = m_nodes.contains(id) ? m_nodes.at(id).generation + 1 : 1;
        PlacementRouter::Options options;
        options.self = id;
        options.seed = m_random();
        m_nodes.insert_or_assign(id, Node { PlacementRouter::Make(options), {}, generation });
        handle(id, ServersChanged { servers });
    }

    std::vector<Member> actualMembers()
    {
        std::vector<Member> members;
        for (const auto& [id, node] : m_nodes) {
            members.push_back({ id, DataCentreId("a"), RegionId("riga"), "a:1", makeIncarnation(node.generation),
                node.running ? MemberState::Alive : MemberState::Dead });
        }
        return members;
    }

    void propagateMembership()
    {
        for (auto& [id, node] : m_nodes) {
            after(randomDelay(std::chrono::seconds(3), std::chrono::seconds(4)),
                [this, id = id] { handle(id, MembersUpdated { actualMembers() }); });
        }
    }

    void execute(const InstanceId& id, std::vector<RouterAction> actions)
    {
        for (auto& action : actions) {
            std::visit(Overload {
                           [&](SendToPeer& it) { transmit(id, std::move(it)); },
                           [&](SendToDispatcher& it) {
                               for (auto& send : m_nodes.at(id).dispatchers[it.domain].handle(it.event)) {
                                   handle(id, DispatcherOutput { it.domain, std::move(send) });
                               }
                           },
                           [&](DropDispatcher& it) { m_nodes.at(id).dispatchers.erase(it.domain); },
                           [&](DeliverToThread& it) { delivered(id, it.message); },
                       },
                action);
        }
        wake(id);
    }

    void wake(const InstanceId& id)
    {
        auto& it = m_nodes.at(id);
        auto next = it.router.nextWakeup();
        if (!next || *next == it.wakeAt) {
            return;
        }
        it.wakeAt = *next;
        after(*next - m_now, [this, id, at = *next, generation = it.generation] {
            auto& node = m_nodes.at(id);
            if (node.running && node.generation == generation && node.wakeAt == at) {
                node.wakeAt = {};
                execute(id, node.router.advance(m_now));
            }
        });
    }

    void transmit(const InstanceId& from, SendToPeer send)
    {
        auto lost = std::bernoulli_distribution(messageLoss)(m_random);
        auto target = m_nodes.find(send.to);
        if (lost || target == m_nodes.end() || !target->second.running) {
            after(randomDelay(std::chrono::milliseconds(20), std::chrono::milliseconds(60)),
                [this, from, to = send.to] { handle(from, PeerLost { to }); });
            return;
        }
        // Messages of one link arrive in order.
        auto& last = m_lastArrival[{ from, send.to }];
        last = std::max(last, m_now + randomDelay(std::chrono::milliseconds(1), std::chrono::milliseconds(4)));
        after(last - m_now, [this, from, generation = target->second.generation, send = std::move(send)] {
            if (m_nodes.at(send.to).generation == generation) {
                handle(send.to, PeerMessage { from, send.packet });
            }
        });
    }

    std::mt19937_64 m_random;
    MonotonicTime m_now { std::chrono::hours(1) };
    std::map<InstanceId, Node> m_nodes;
    std::map<std::pair<InstanceId, InstanceId>, MonotonicTime> m_lastArrival;
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
};

} // namespace lagoonspoke
