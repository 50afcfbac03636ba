#include "external/CollectionFollower.h"

#include <catch2/catch.hpp>

#include "lagoonspoke/core/StoreRevision.h"

namespace lagoonspoke {

using namespace std::chrono_literals;

namespace {

struct Kit {
    explicit Kit(CollectionFollower::Options options = {})
        : follower(options)
    {
        keep(follower.start(now));
    }

    void keep(std::vector<CollectionAction> given)
    {
        actions = std::move(given);
        for (const auto& it : actions) {
            updates += std::holds_alternative<CollectionUpdated>(it) ? 1 : 0;
        }
    }
    void send(CollectionEvent event) { keep(follower.handle(std::move(event), now)); }
    void advance(Duration time)
    {
        now += time;
        keep(follower.advance(now));
    }
    template <typename Action> bool did() const
    {
        return std::any_of(
            actions.begin(), actions.end(), [](const auto& it) { return std::holds_alternative<Action>(it); });
    }
    std::vector<std::string> names() const
    {
        std::vector<std::string> list;
        for (const auto& [name, value] : follower.items()) {
            list.push_back(name);
        }
        return list;
    }
    static CollectionChange removal(const std::string& name) { return { { name, "" }, true }; }

    MonotonicTime now { 100s };
    CollectionFollower follower;
    std::vector<CollectionAction> actions;
    int updates = 0;
};

using Names = std::vector<std::string>;
const Error away { ErrorCode::Unavailable, "away" };

} // namespace

// Guards against changes that are lost between a list and the watch after it.
TEST_CASE("A collection is listed once and watched from the list's revision")
{
    Kit kit;
    CHECK(kit.did<ListCollection>());
    kit.send(CollectionListed { { { { "a", "1" }, { "b", "1" } }, 7 } });
    REQUIRE(kit.did<WatchCollection>());
    CHECK(std::get<WatchCollection>(kit.actions.front()).revision == 7);
    kit.send(CollectionWatched { { { Kit::removal("a"), { { "c", "1" }, false } }, 9 } });
    CHECK(kit.names() == Names { "b", "c" });
    CHECK(kit.updates == 2);
    kit.send(CollectionWatched { { {}, 12 } });
    CHECK(kit.updates == 2);
    kit.send(CollectionHistoryLost {});
    CHECK(kit.did<ListCollection>());
}

// Guards against an emptied table while the store is away, and against entries that stay after their writers are gone.
TEST_CASE("Items that the store lost while it was away are kept for a moment after its return")
{
    Kit kit;
    kit.send(CollectionListed { { { { "a", "1" }, { "b", "1" } }, 7 } });
    kit.send(CollectionCallFailed { away });
    CHECK(kit.names() == Names { "a", "b" });
    kit.advance(150ms);
    CHECK(kit.did<ListCollection>());
    kit.advance(4s);
    kit.send(CollectionStoreReturned { kit.now });
    kit.send(CollectionListed { { {}, 20 } });
    CHECK(kit.names() == Names { "a", "b" });
    kit.advance(1s);
    kit.send(CollectionWatched { { { { { "a", "1" }, false } }, 21 } });
    kit.advance(1500ms);
    CHECK(kit.names() == Names { "a" });
}

// Guards against servers that get requests for seconds after their removal, as the store cut off the watches that
// waited.
TEST_CASE("A removal counts at once after calls that failed for a moment")
{
    Kit kit;
    CollectionList list { { { "a", "1" }, { "b", "1" }, { "c", "1" }, { "d", "1" } }, 7 };
    kit.send(CollectionListed { list });
    for (auto failures : { 1, 2, 3 }) {
        kit.advance(2s);
        for (int i = 0; i < failures; ++i) {
            kit.send(CollectionCallFailed { away });
            kit.advance(400ms);
            REQUIRE(kit.did<ListCollection>());
        }
        list.items.pop_back();
        ++list.revision;
        kit.send(CollectionListed { list });
        CHECK(kit.names().size() == list.items.size());
    }
}

// Guards against servers that are all taken for gone, because a watch waited through an outage in which their entries
// lapsed, and was cut off at its end.
TEST_CASE("Items that a list lacks together are kept if the store was silent for long enough")
{
    auto [silence, keeps] = GENERATE(std::pair(Duration(2300ms), false), std::pair(Duration(2400ms), true));
    Kit kit;
    kit.send(CollectionListed { { { { "a", "1" }, { "b", "1" }, { "c", "1" } }, 7 } });
    kit.advance(silence - 100ms);
    kit.send(CollectionCallFailed { away });
    kit.advance(100ms);
    kit.send(CollectionListed { { {}, 20 } });
    CHECK(kit.names().size() == (keeps ? 3 : 0));
    kit.advance(2300ms);
    CHECK(kit.names().empty());
}

// Guards against a removal that waits although the store was there all the while: the server leaves.
TEST_CASE("A removal counts at once while the store is there")
{
    Kit kit;
    kit.send(CollectionListed { { { { "a", "1" } }, 7 } });
    kit.send(CollectionWatched { { { Kit::removal("a") }, 8 } });
    CHECK(kit.names().empty());
}

// Guards against an instance that the store turns away and that knows nothing new, and against hearsay that replaces
// what the store itself says.
TEST_CASE("What peers tell counts while the store cannot be read, or is not")
{
    Kit kit;
    kit.send(CollectionListed { { { { "a", "1" } }, 7 } });
    kit.send(CollectionHeard { { { { "x", "1" } }, 50 } });
    CHECK(kit.names() == Names { "a" });
    kit.send(CollectionCallFailed { away });
    kit.send(CollectionHeard { { { { "a", "1" }, { "x", "1" } }, 50 } });
    CHECK(kit.names() == Names { "a", "x" });
    kit.send(CollectionHeard { { { { "old", "1" } }, 20 } });
    CHECK(kit.names() == Names { "a", "x" });
    kit.send(CollectionChangesHeard { 50, { { { { "y", "1" }, false } }, 51 } });
    CHECK(kit.names() == Names { "a", "x", "y" });
    kit.send(CollectionChangesHeard { 40, { { { { "z", "1" }, false } }, 60 } });
    CHECK(kit.names() == Names { "a", "x", "y" });
}

// Guards against calls of instances that live by what others tell, and against one that never reads again.
TEST_CASE("An instance that does not read makes no calls until it reads again")
{
    Kit kit;
    kit.send(CollectionListed { { { { "a", "1" } }, 7 } });
    kit.send(CollectionRoleChanged { false });
    kit.send(CollectionWatched { { {}, 8 } });
    CHECK_FALSE(kit.did<WatchCollection>());
    CHECK_FALSE(kit.follower.isCurrent());
    kit.send(CollectionRoleChanged { true });
    CHECK(kit.did<ListCollection>());
}

// Guards against a billed call for each of many servers that change one after the other, and against a pause that puts
// off the first change.
TEST_CASE("The next watch begins after a pause when the last one brought changes")
{
    CollectionFollower::Options options;
    options.watchPause = 300ms;
    Kit kit(options);
    kit.send(CollectionListed { { { { "a", "1" } }, 5 } });
    REQUIRE(kit.did<WatchCollection>());
    kit.send(CollectionWatched { { { { { "a", "2" }, false } }, 6 } });
    CHECK(kit.did<CollectionUpdated>());
    CHECK_FALSE(kit.did<WatchCollection>());
    REQUIRE(kit.follower.nextWakeup() == kit.now + 300ms);
    kit.advance(200ms);
    CHECK_FALSE(kit.did<WatchCollection>());
    kit.advance(100ms);
    REQUIRE(kit.did<WatchCollection>());
    kit.send(CollectionWatched { { {}, 7 } });
    CHECK(kit.did<WatchCollection>());
}

// Guards against servers that a restored store lacks for a moment and that are taken for gone, and against instances
// that live by peers and take nothing until the old numbers are passed.
TEST_CASE("A restored collection replaces a newer number, and keeps what it lacks for a moment")
{
    Kit kit;
    bool watches = GENERATE(true, false);
    kit.send(CollectionListed { { { { "copied", "1" }, { "lost", "1" } }, makeRevision(0, 900) } });
    kit.send(CollectionRoleChanged { watches });
    CollectionList restored { { { "copied", "1" }, { "new", "1" } }, makeRevision(1, 100) };
    if (watches) {
        kit.send(CollectionHistoryLost {});
        CHECK(kit.did<ListCollection>());
        kit.send(CollectionListed { restored });
    } else {
        kit.send(CollectionHeard { restored });
    }
    CHECK(kit.names() == Names { "copied", "lost", "new" });
    CHECK(kit.follower.itemsRevision() == restored.revision);
    kit.advance(2400ms);
    CHECK(kit.names() == Names { "copied", "new" });
}

// Guards against servers that are all taken for gone, because a watch waited through an outage in which their entries
// lapsed and then told of all of them at once.
TEST_CASE("Items that lapsed together are kept for the time in which they come back")
{
    Kit kit;
    CollectionList list { {}, 10 };
    for (int i = 0; i < 6; ++i) {
        list.items.push_back({ std::to_string(i), "1" });
    }
    kit.send(CollectionListed { list });
    kit.now += 8s;
    kit.send(CollectionWatched {
        { { Kit::removal("0"), Kit::removal("1"), Kit::removal("2"), Kit::removal("3"), Kit::removal("4") }, 20 } });
    CHECK(kit.names().size() == 6);
    kit.updates = 0;
    kit.send(
        CollectionWatched { { { { { "0", "1" }, false }, { { "1", "1" }, false }, { { "2", "1" }, false } }, 25 } });
    // That they are there again is news, with the revision that shows it.
    CHECK(kit.updates == 1);
    CHECK(kit.follower.itemsRevision() == 25);
    kit.advance(2400ms);
    CHECK(kit.names() == Names { "0", "1", "2", "5" });
    // Half of them may be gone for good.
    kit.send(CollectionWatched { { { Kit::removal("1"), Kit::removal("5") }, 30 } });
    CHECK(kit.names() == Names { "0", "2" });
}

// Guards against a change that no instance hears of for long, as every connection to the store is silent and every
// watch still waits: their ends come one after the other, also where all began at the same moment.
TEST_CASE("the watches of all instances end in turn after a change, and in the same order later")
{
    constexpr std::size_t watchers = 8;
    std::vector<Duration> first;
    std::vector<Duration> second;
    for (std::size_t rank = 0; rank < watchers; ++rank) {
        Kit kit;
        kit.send(CollectionRoleChanged { true, { rank, watchers } });
        kit.send(CollectionListed { { { { "a", "1" } }, 7 } });
        first.push_back(std::get<WatchCollection>(kit.actions.front()).wait);
        kit.send(CollectionWatched { { {}, 8 } });
        second.push_back(std::get<WatchCollection>(kit.actions.front()).wait);
    }
    for (std::size_t rank = 0; rank < watchers; ++rank) {
        CHECK(first[rank] == 500ms * (static_cast<int>(rank) + 1));
        CHECK(second[rank] == 4s);
    }
}

TEST_CASE("a watch is neither so short that one instance makes many calls, nor without an end")
{
    Kit kit;
    kit.send(CollectionListed { { { { "a", "1" } }, 7 } });
    CHECK(std::get<WatchCollection>(kit.actions.front()).wait == 2s);
    kit.send(CollectionRoleChanged { true, { 999, 1000 } });
    kit.send(CollectionWatched { { {}, 8 } });
    CHECK(std::get<WatchCollection>(kit.actions.front()).wait == 20s);
}

// Guards against servers that are taken for gone because a page of the list cannot be had.
TEST_CASE("An incomplete list removes nothing and is read again")
{
    Kit kit;
    kit.send(CollectionListed { { { { "a", "1" }, { "b", "1" } }, 7 } });
    kit.send(CollectionHistoryLost {});
    REQUIRE(kit.did<ListCollection>());
    kit.send(CollectionListed { { { { "a", "2" }, { "c", "1" } }, 9, false } });
    CHECK(kit.names() == Names { "a", "b", "c" });
    CHECK(kit.did<WatchCollection>());
    CHECK_FALSE(kit.follower.isCurrent()); // peers that have more must not go by it
    kit.advance(1s);
    kit.send(CollectionWatched { { { Kit::removal("a") }, 10 } });
    CHECK(kit.names() == Names { "b", "c" });
    CHECK(kit.did<WatchCollection>());
    kit.advance(5s);
    kit.send(CollectionWatched { { {}, 10 } });
    CHECK(kit.did<ListCollection>());
    CHECK_FALSE(kit.did<WatchCollection>());
    kit.send(CollectionListed { { { { "c", "1" } }, 12 } });
    CHECK(kit.names() == Names { "c" });
    CHECK(kit.follower.isCurrent());
    kit.advance(10s);
    kit.send(CollectionWatched { { {}, 12 } });
    CHECK(kit.did<WatchCollection>());
}

} // namespace lagoonspoke
