#include "dispatch/placement/PartHomes.h"

#include <set>

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace lagoonspoke {

namespace {

constexpr int parts = 200;

std::vector<BackendServer> makeServers(int count)
{
    std::vector<BackendServer> servers;
    for (int i = 0; i < count; ++i) {
        BackendServer server;
        server.id = BackendServerId(fmt::format("s{:03}", i));
        server.slots = 12;
        servers.push_back(server);
    }
    return servers;
}

std::vector<std::vector<BackendServerId>> findAll(ServerPool& pool, PartHomes& homes)
{
    std::vector<std::vector<BackendServerId>> found;
    for (std::uint64_t part = 0; part < parts; ++part) {
        auto& ids = found.emplace_back();
        for (const auto* state : homes.find(PrefixBlock(part), pool)) {
            ids.push_back(state->server.id);
        }
    }
    return found;
}

} // namespace

// Guards against dispatchers that send the same part to different engines after one took over from the other.
TEST_CASE("Dispatchers with the same engines find the same homes, in any order of the list")
{
    DispatchOptions options;
    ServerPool first(options);
    ServerPool second(options);
    auto servers = makeServers(40);
    first.replace(servers, MonotonicTime());
    std::ranges::reverse(servers);
    second.replace(servers, MonotonicTime());
    PartHomes firstHomes;
    PartHomes secondHomes;
    auto found = findAll(first, firstHomes);
    CHECK(found == findAll(second, secondHomes));
    std::map<BackendServerId, int> counts;
    for (const auto& ids : found) {
        REQUIRE(ids.size() == PartHomes::homesPerPart);
        CHECK(std::set(ids.begin(), ids.end()).size() == ids.size());
        ++counts[ids.front()];
    }
    // No engine is the first home of far more parts than the mean of 5.
    for (const auto& [id, count] : counts) {
        CHECK(count <= 15);
    }
}

// Guards against parts that all move when one engine comes or goes, and against homes that are leaving.
TEST_CASE("A change of one engine moves only the parts that it is a home of")
{
    DispatchOptions options;
    ServerPool pool(options);
    auto servers = makeServers(40);
    pool.replace(servers, MonotonicTime());
    PartHomes homes;
    auto before = findAll(pool, homes);
    auto gone = servers[7].id;
    servers[7].leaving = true;
    pool.replace(servers, MonotonicTime());
    auto after = findAll(pool, homes);
    for (std::size_t part = 0; part < before.size(); ++part) {
        INFO(part);
        CHECK(std::ranges::count(after[part], gone) == 0);
        auto kept = before[part];
        std::erase(kept, gone);
        kept.resize(std::min(kept.size(), after[part].size()));
        CHECK(std::equal(kept.begin(), kept.end(), after[part].begin()));
    }
}

TEST_CASE("Fewer engines than homes are all homes")
{
    DispatchOptions options;
    ServerPool pool(options);
    PartHomes homes;
    CHECK(homes.find(PrefixBlock(1), pool).empty());
    pool.replace(makeServers(2), MonotonicTime());
    CHECK(homes.find(PrefixBlock(1), pool).size() == 2);
}

} // namespace lagoonspoke
