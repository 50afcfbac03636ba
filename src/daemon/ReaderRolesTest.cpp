#include "daemon/ReaderRoles.h"

#include <map>

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace lagoonspoke {

using namespace std::chrono_literals;

namespace {

std::vector<Member> makeMembers(int perDataCentre)
{
    std::vector<Member> members;
    for (const auto* dataCentre : { "a", "b" }) {
        for (int i = 0; i < perDataCentre; ++i) {
            members.push_back({ InstanceId(fmt::format("{}{}", dataCentre, i)), DataCentreId(dataCentre), RegionId("r"),
                "", makeIncarnation(5) });
        }
    }
    return members;
}

ReaderRoles makeRoles(const std::string& self)
{
    ReaderRoles::Options options;
    options.self = InstanceId(self);
    options.dataCentre = DataCentreId(self.substr(0, 1));
    return ReaderRoles(options);
}

} // namespace

TEST_CASE("Every instance of a small fleet reads for itself")
{
    for (const auto* self : { "a0", "a3", "b2" }) {
        auto roles = makeRoles(self);
        roles.setMembers(makeMembers(4), MonotonicTime(10s));
        CHECK(roles.isReader());
        CHECK(roles.listeners().empty());
    }
}

// Guards against fleets in which all instances are woken by every change, or in which nobody reads.
TEST_CASE("Two instances of each data centre read for the others")
{
    std::map<DataCentreId, int> readers;
    for (const auto& member : makeMembers(20)) {
        auto roles = makeRoles(member.id.value());
        roles.setMembers(makeMembers(20), MonotonicTime(10s));
        readers[member.dataCentre] += roles.isReader() ? 1 : 0;
        CHECK(roles.listeners().size() == (roles.isReader() ? 18 : 0));
    }
    CHECK(readers[DataCentreId("a")] == 2);
    CHECK(readers[DataCentreId("b")] == 2);
}

// Guards against listeners that know nothing new because the readers were cut off, paused or killed.
TEST_CASE("A listener reads for itself when its readers fall silent")
{
    std::vector<InstanceId> readers;
    std::string listener;
    for (int i = 0; i < 20; ++i) {
        auto roles = makeRoles(fmt::format("a{}", i));
        roles.setMembers(makeMembers(20), MonotonicTime(10s));
        if (roles.isReader()) {
            readers.emplace_back(fmt::format("a{}", i));
        } else {
            listener = fmt::format("a{}", i);
        }
    }
    auto roles = makeRoles(listener);
    roles.setMembers(makeMembers(20), MonotonicTime(10s));
    CHECK_FALSE(roles.reads(MonotonicTime(11s)));
    roles.noteReader(readers[0], MonotonicTime(11s));
    roles.noteReader(readers[1], MonotonicTime(11s));
    CHECK_FALSE(roles.reads(MonotonicTime(12s)));
    CHECK(roles.isFollowed(readers[0], MonotonicTime(12s)) != roles.isFollowed(readers[1], MonotonicTime(12s)));
    roles.noteReader(readers[1], MonotonicTime(13s));
    CHECK(roles.isFollowed(readers[1], MonotonicTime(13s)));
    CHECK_FALSE(roles.reads(MonotonicTime(14s)));
    CHECK(roles.reads(MonotonicTime(15s)));
}

// Guards against watches of several instances that end at the same moment, and against moments without any.
TEST_CASE("Each instance that reads has a turn of its own")
{
    int perDataCentre = GENERATE(4, 20);
    std::map<std::size_t, std::size_t> watchersByRank;
    for (const auto& member : makeMembers(perDataCentre)) {
        auto roles = makeRoles(member.id.value());
        roles.setMembers(makeMembers(perDataCentre), MonotonicTime(10s));
        if (roles.isReader()) {
            CHECK(watchersByRank.emplace(roles.turn().rank, roles.turn().watchers).second);
        }
    }
    CHECK(watchersByRank.size() == (perDataCentre == 4 ? 8 : 4));
    for (const auto& [rank, watchers] : watchersByRank) {
        CHECK(rank < watchersByRank.size());
        CHECK(watchers == watchersByRank.size());
    }
}

} // namespace lagoonspoke
