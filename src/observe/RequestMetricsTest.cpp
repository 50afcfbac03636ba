#include "observe/RequestMetrics.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace lagoonspoke {

// Guards against a scrape that grows with every team of a large installation.
TEST_CASE("teams after the first fifty share one series")
{
    prometheus::Registry registry;
    RequestMetrics metrics(registry);
    const ClassName chat("chat");
    auto& first = metrics.seriesOf(chat, TeamId("team-0"));
    for (int i = 1; i < 50; ++i) {
        REQUIRE(metrics.seriesOf(chat, TeamId(fmt::format("team-{}", i))).team == fmt::format("team-{}", i));
    }
    auto& other = metrics.seriesOf(chat, TeamId("team-50"));
    REQUIRE(other.team == "other");
    REQUIRE(&metrics.seriesOf(chat, TeamId("team-51")) == &other);
    REQUIRE(&metrics.seriesOf(chat, TeamId("team-0")) == &first);
    REQUIRE(metrics.seriesOf(chat, TeamId()).team == "none");
}

} // namespace lagoonspoke
