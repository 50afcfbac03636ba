#pragma once

#include <algorithm>
#include <functional>
#include <queue>
#include <set>

#include <fmt/format.h>

#include "lagoonspoke/core/Overload.h"
#include "membership/Membership.h"

namespace lagoonspoke {

// Instances of Membership on a virtual clock with seeded delay and loss, for tests and measurements. Table syncs are
// not lost, as they travel over a link.
class SimulatedNetwork {
public:
    struct Options {
        std::uint64_t seed = 1;
        double loss = 0; // of each datagram
        Membership::Options membership; // self and seed are filled in
        int members = 0; // started at once in one region, told the list, and run for 3 s
    };
    struct Node {
        Membership membership;
        bool running = true;
        MonotonicTime pausedUntil {};
        int side = 0; // of a partition; messages between different sides are lost
        std::uint64_t bytesSent = 0;
        std::uint64_t bytesReceived = 0;
        std::uint64_t messagesSent = 0;
        std::vector<Rumour> rumours {};
        std::vector<MembershipMessage> inbox {}; // while paused
        MonotonicTime wakeAt {};
    };

    explicit SimulatedNetwork(Options options)
        : m_options(std::move(options))
        , m_random(m_options.seed)
    {
        for (int i = 0; i < m_options.members; ++i) {
            start(i);
        }
        if (m_options.members > 0) {
            tellList();
            run(std::chrono::seconds(3));
        }
    }
    // Scheduled events hold the address.
    SimulatedNetwork(const SimulatedNetwork&) = delete;
    SimulatedNetwork& operator=(const SimulatedNetwork&) = delete;

    // Starts an instance, or starts it again with a newer incarnation. It knows the others from tellList().
    void start(int index, const std::string& region = "riga")
    {
        auto options = m_options.membership;
        options.self = { idOf(index), DataCentreId("dc-a"), RegionId(region),
            fmt::format("10.0.{}.{}:7000", index / 250, index % 250 + 1),
            makeIncarnation(static_cast<std::uint64_t>(m_now.time_since_epoch().count() / 1'000'000) + 1) };
        options.seed = m_random();
        m_nodes.insert_or_assign(idOf(index), Node { Membership::Make(options) });
        wake(idOf(index), m_now);
    }

    // Gives every running instance the list of all instances that ever started, but for the removed ones.
    void tellList(const std::set<InstanceId>& removed = {})
    {
        CandidatesChanged list;
        for (const auto& [id, node] : m_nodes) {
            if (!removed.contains(id)) {
                list.candidates.push_back(node.membership.self());
                list.candidates.back().state = MemberState::Alive;
            }
        }
        for (auto& [id, node] : m_nodes) {
            if (node.running) {
                execute(id, node.membership.handle(list, m_now));
            }
        }
    }

    void publish(int index, const Rumour& rumour)
    {
        execute(idOf(index), node(index).membership.handle(RumourPublished { rumour }, m_now));
    }
    void leave(int index) { execute(idOf(index), node(index).membership.handle(LeaveRequested {}, m_now)); }
    void stop(int index) { node(index).running = false; }
    void pause(int index, Duration duration) { node(index).pausedUntil = m_now + duration; }
    void setLoss(double loss) { m_options.loss = loss; }

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

    static InstanceId idOf(int index) { return InstanceId(fmt::format("entry-{:03}", index)); }
    Node& node(int index) { return m_nodes.at(idOf(index)); }
    std::map<InstanceId, Node>& nodes() { return m_nodes; }
    MonotonicTime now() const { return m_now; }

    // The state of one instance as another sees it; Dead when it does not know it.
    MemberState stateSeenBy(int viewer, int index)
    {
        for (const auto& member : node(viewer).membership.members()) {
            if (member.id == idOf(index)) {
                return member.state;
            }
        }
        return MemberState::Dead;
    }

    // How many running, unpaused instances see the instance in the state.
    int countViews(int index, MemberState state)
    {
        int n = 0;
        for (auto& [id, viewer] : m_nodes) {
            const auto& members = viewer.membership.members();
            auto it = std::ranges::find(members, idOf(index), &Member::id);
            n += viewer.running && id != idOf(index) && it != members.end() && it->state == state ? 1 : 0;
        }
        return n;
    }

    std::function<std::size_t(const MembershipMessage&)> measure = [](const MembershipMessage&) { return 0; };
    std::function<void(const InstanceId& viewer, const Membership&)> membersChanged
        = [](const InstanceId&, const Membership&) {};

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

    void schedule(MonotonicTime time, std::function<void()> action)
    {
        m_events.push({ time, ++m_order, std::move(action) });
    }

    void wake(const InstanceId& id, MonotonicTime time)
    {
        m_nodes.at(id).wakeAt = time;
        schedule(time, [this, id, time] {
            auto& it = m_nodes.at(id);
            if (!it.running || it.wakeAt != time) {
                return;
            }
            if (it.pausedUntil > m_now) {
                wake(id, it.pausedUntil);
                return;
            }
            for (auto& message : std::exchange(it.inbox, {})) {
                execute(id, it.membership.handle(MembershipReceived { std::move(message) }, m_now));
            }
            execute(id, it.membership.advance(m_now));
        });
    }

    void execute(const InstanceId& id, std::vector<MembershipAction> actions)
    {
        for (auto& action : actions) {
            std::visit(Overload {
                           [&](SendMembership& it) { transmit(id, std::move(it)); },
                           [&](MembersChanged&) { membersChanged(id, m_nodes.at(id).membership); },
                           [&](RumourReceived& it) { m_nodes.at(id).rumours.push_back(std::move(it.rumour)); },
                       },
                action);
        }
        auto& it = m_nodes.at(id);
        if (auto next = it.membership.nextWakeup(); next && *next != it.wakeAt) {
            wake(id, std::max(*next, m_now));
        }
    }

    void transmit(const InstanceId& from, SendMembership send)
    {
        auto& sender = m_nodes.at(from);
        auto bytes = measure(send.message);
        sender.bytesSent += bytes;
        ++sender.messagesSent;
        auto lossy = !std::holds_alternative<TableSync>(send.message);
        if (!m_nodes.contains(send.to) || m_nodes.at(send.to).side != sender.side
            || (lossy && std::bernoulli_distribution(m_options.loss)(m_random))) {
            return;
        }
        std::uniform_int_distribution<int> delay(300, 3000);
        schedule(m_now + std::chrono::microseconds(delay(m_random)),
            [this, to = send.to, bytes, message = std::move(send.message)] {
                auto& receiver = m_nodes.at(to);
                receiver.bytesReceived += bytes;
                if (!receiver.running) {
                    return;
                }
                if (receiver.pausedUntil > m_now) {
                    receiver.inbox.push_back(message);
                    return;
                }
                execute(to, receiver.membership.handle(MembershipReceived { message }, m_now));
            });
    }

    Options m_options;
    std::mt19937_64 m_random;
    MonotonicTime m_now { std::chrono::hours(1) };
    std::map<InstanceId, Node> m_nodes;
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
};

} // namespace lagoonspoke
