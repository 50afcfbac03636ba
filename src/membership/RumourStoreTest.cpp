#include "membership/RumourStore.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

using namespace std::chrono_literals;

// Guards against an old value that replaces a newer one when messages arrive out of order.
TEST_CASE("only a higher version replaces a rumour")
{
    RumourStore store({});
    MonotonicTime now(1h);
    REQUIRE(store.put({ "k", 2, "new" }, now));
    REQUIRE_FALSE(store.put({ "k", 1, "old" }, now));
    REQUIRE_FALSE(store.put({ "k", 2, "same" }, now));
    REQUIRE(store.find("k", now)->payload == "new");
}

// Guards against rumours that never expire because they circulate between instances: the age is forwarded with them.
TEST_CASE("a rumour expires 15 minutes after its publication, also when it was forwarded")
{
    RumourStore first({});
    RumourStore second({});
    MonotonicTime now(1h);
    first.put({ "k", 1, "x" }, now);
    second.put(*first.find("k", now + 10min), now + 10min);
    REQUIRE(second.find("k", now + 14min));
    REQUIRE(second.find("k", now + 14min)->age == 14min);
    REQUIRE_FALSE(second.find("k", now + 15min));
    REQUIRE_FALSE(second.put({ "j", 1, "x", 15min }, now));
}

// Guards against memory that grows with the number of rumours.
TEST_CASE("the oldest rumour is evicted when the store is full")
{
    RumourStore store({ 2 });
    MonotonicTime now(1h);
    store.put({ "a", 1, "" }, now);
    store.put({ "b", 1, "" }, now + 1s);
    store.put({ "c", 1, "" }, now + 2s);
    REQUIRE_FALSE(store.find("a", now + 2s));
    REQUIRE(store.all(now + 2s).size() == 2);
    REQUIRE_FALSE(store.put({ "d", 1, std::string(600, 'x') }, now));
}

} // namespace lagoonspoke
