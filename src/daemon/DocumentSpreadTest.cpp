// How a change of the document spreads over a fleet in which only the readers watch the store.
#include <deque>
#include <map>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "config/DocumentFollower.h"
#include "daemon/ReaderRoles.h"
#include "lagoonspoke/core/Overload.h"
#include "lagoonspoke/core/Text.h"
#include "membership/Rendezvous.h"

namespace lagoonspoke {

using namespace std::chrono_literals;

namespace {

constexpr Duration oneWay = 1ms;
// In which an acknowledged configuration is in force on all instances, on the users' platform.
constexpr Duration mostDelay = 2s;

tl::expected<Configuration, std::vector<Error>> decodeNumber(std::string_view text)
{
    Configuration configuration;
    configuration.number = parseNumber<std::uint64_t>(text).value_or(0);
    return configuration;
}

// Four data centres of 18 instances on a virtual clock. Every instance is in touch with every other one.
class Fleet {
public:
    explicit Fleet(std::uint64_t seed)
    {
        for (const auto* dataCentre : { "a", "b", "c", "d" }) {
            for (int i = 0; i < 18; ++i) {
                m_members.push_back({ InstanceId(fmt::format("{}{}", dataCentre, i)), DataCentreId(dataCentre),
                    RegionId("r"), "", makeIncarnation(5) });
            }
        }
        for (const auto& member : m_members) {
            ReaderRoles roles({ member.id, member.dataCentre });
            roles.setMembers(m_members, now);
            DocumentFollower::Options options;
            options.seed = ++seed;
            auto& follower = m_followers.emplace(member.id, DocumentFollower(options, decodeNumber)).first->second;
            if (roles.isReader()) {
                m_readers[member.dataCentre].push_back(member.id);
            }
            perform(member.id, follower.handle(DocumentStoreReachable { true }, now));
            perform(member.id, follower.handle(DocumentPeersChanged { listOthers(m_members, member.id) }, now));
            perform(member.id, follower.handle(DocumentRoleChanged { roles.isReader(), roles.recipients() }, now));
            perform(member.id, follower.handle(DocumentRead { "1" }, now));
        }
        run(5s);
    }

    // The store's watches tell all readers but those of the data centre, whose connections are silent.
    void change(const std::string& text, const DataCentreId& silent)
    {
        for (const auto& [dataCentre, readers] : m_readers) {
            for (const auto& reader : readers) {
                if (dataCentre != silent) {
                    perform(reader, m_followers.at(reader).handle(DocumentRead { text }, now));
                }
            }
        }
    }

    void run(Duration time)
    {
        for (auto end = now + time; now < end; now += 1ms) {
            while (!m_messages.empty() && m_messages.front().due <= now) {
                auto message = std::move(m_messages.front());
                m_messages.pop_front();
                perform(message.to, m_followers.at(message.to).handle(message.event, now));
            }
            for (auto& [id, follower] : m_followers) {
                if (auto next = follower.nextWakeup(); next && *next <= now) {
                    perform(id, follower.advance(now));
                }
            }
        }
    }

    int countBehind(std::uint64_t number) const
    {
        return static_cast<int>(
            std::ranges::count_if(m_followers, [&](const auto& it) { return it.second.number() < number; }));
    }

    MonotonicTime now { 100s };

private:
    struct Message {
        MonotonicTime due;
        InstanceId to;
        DocumentEvent event;
    };

    void perform(const InstanceId& from, const std::vector<DocumentAction>& actions)
    {
        auto send = [&](const InstanceId& to, DocumentEvent event) {
            m_messages.push_back({ now + oneWay, to, std::move(event) });
        };
        for (const auto& action : actions) {
            std::visit(Overload {
                           [&](const TellNumber& it) {
                               for (const auto& peer : it.peers) {
                                   send(peer, DocumentNumberHeard { from, it.number, it.replyWanted });
                               }
                           },
                           [&](const AskForDocument& it) { send(it.peer, DocumentWanted { from }); },
                           [&](const SendDocument& it) {
                               send(it.peer, DocumentReceived { from, it.text });
                           },
                           [](const auto&) {},
                       },
                action);
        }
    }

    std::vector<Member> m_members;
    std::map<InstanceId, DocumentFollower> m_followers;
    std::map<DataCentreId, std::vector<InstanceId>> m_readers;
    std::deque<Message> m_messages;
};

} // namespace

// Guards against a data centre that goes on with an old configuration while the store's connections to both of its
// readers are silent, which they do not notice for 21 s.
TEST_CASE("a change reaches the listeners of readers that the store is silent to")
{
    for (std::uint64_t seed = 0; seed < 40; ++seed) {
        Fleet fleet(seed * 1000);
        REQUIRE(fleet.countBehind(1) == 0);
        fleet.change("2", DataCentreId("b"));
        fleet.run(mostDelay);
        CAPTURE(seed);
        CHECK(fleet.countBehind(2) == 0);
    }
}

} // namespace lagoonspoke
