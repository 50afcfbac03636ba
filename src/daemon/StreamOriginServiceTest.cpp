#include "daemon/StreamOriginService.h"

#include <map>

#include <catch2/catch.hpp>

namespace lagoonspoke {

using namespace std::chrono_literals;

namespace {

// Keeps objects in memory. Each call takes effect in the middle of its time.
class SlowStore final : public ObjectStore {
public:
    SlowStore(asio::io_context& io, Duration writeTime)
        : m_io(io)
        , m_writeTime(writeTime)
    {
    }

    asio::awaitable<Outcome<StoredObject>> get(std::string key) const override
    {
        co_await wait(readTime);
        auto it = m_objects.find(key);
        if (it == m_objects.end()) {
            co_return makeError(ErrorCode::NotFound, key);
        }
        co_return it->second;
    }
    asio::awaitable<Outcome<std::uint64_t>> create(std::string key, std::string value) const override
    {
        co_return co_await put(std::move(key), std::move(value), 0);
    }
    asio::awaitable<Outcome<std::uint64_t>> update(
        std::string key, std::string value, std::uint64_t version) const override
    {
        co_return co_await put(std::move(key), std::move(value), version);
    }
    asio::awaitable<Outcome<void>> remove(std::string key, std::uint64_t) const override
    {
        co_await wait(m_writeTime);
        m_objects.erase(key);
        co_return Outcome<void>();
    }
    asio::awaitable<Outcome<std::vector<ObjectEntry>>> list(std::string prefix) const override
    {
        co_await wait(readTime);
        std::vector<ObjectEntry> entries;
        for (const auto& [key, object] : m_objects) {
            if (key.starts_with(prefix)) {
                entries.push_back({ key, object.version, object.value });
            }
        }
        co_return entries;
    }

private:
    static constexpr Duration readTime = 4ms;

    asio::awaitable<void> wait(Duration time) const
    {
        asio::steady_timer timer(m_io, time);
        co_await timer.async_wait(useTuple);
    }
    asio::awaitable<Outcome<std::uint64_t>> put(std::string key, std::string value, std::uint64_t version) const
    {
        co_await wait(m_writeTime / 2);
        auto it = m_objects.find(key);
        if ((it == m_objects.end() ? 0 : it->second.version) != version) {
            co_return makeError(ErrorCode::Conflict, key);
        }
        auto written = m_objects[key] = { std::move(value), ++m_version };
        co_await wait(m_writeTime / 2);
        co_return written.version;
    }

    asio::io_context& m_io;
    Duration m_writeTime;
    mutable std::map<std::string, StoredObject> m_objects;
    mutable std::uint64_t m_version = 0;
};

BackendServer makeServer(const std::string& id, const std::string& version)
{
    BackendServer server { BackendServerId(id), DataCentreId("a"), TargetName("m"), "127.0.0.1:1", 8 };
    server.softwareVersion = SoftwareVersion(version);
    return server;
}

// Two instances that know one version of the target's servers.
struct OriginsBed {
    OriginsBed()
    {
        for (auto* it : { &ahead, &behind }) {
            it->applyServers(before);
            it->start();
        }
        runFor(1s);
    }
    ~OriginsBed()
    {
        ahead.stop();
        behind.stop();
        runFor(700ms);
    }

    void runFor(Duration time) { io.run_for(time); }
    template <typename T> T await(asio::awaitable<T> call)
    {
        std::optional<T> result;
        asio::co_spawn(io, std::move(call), [&](const std::exception_ptr&, T it) { result = std::move(it); });
        while (!result) {
            io.run_one_for(10ms);
        }
        return *result;
    }

    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> work = asio::make_work_guard(io);
    std::vector<BackendServer> before { makeServer("s1", "v1") };
    std::shared_ptr<SlowStore> store = std::make_shared<SlowStore>(io, 300ms);
    StreamOriginService ahead { io, InstanceId("e1"), store };
    StreamOriginService behind { io, InstanceId("e2"), store };
};

} // namespace

// Guards against streams joined of two versions at an instance that has not heard of the second one: such a stream must
// not begin before the store can tell of its version.
TEST_CASE("a stream of a new version is not taken for one of the only version that another instance knows")
{
    OriginsBed bed;
    auto after = bed.before;
    after.push_back(makeServer("s2", "v2"));
    bed.ahead.applyServers(after);
    REQUIRE(bed.await(bed.ahead.noteGranted("c1", TargetName("m"), SoftwareVersion("v2"), 10s)));
    auto origin = bed.await(bed.behind.find("c1", TargetName("m"), 5s));
    CHECK_FALSE(origin.version == SoftwareVersion("v1"));
}

// Guards against streams that wait although the store knows their version.
TEST_CASE("a stream of a stored version begins at once")
{
    OriginsBed bed;
    auto begin = readMonotonicClock();
    REQUIRE(bed.await(bed.ahead.noteGranted("c1", TargetName("m"), SoftwareVersion("v1"), 10s)));
    CHECK(readMonotonicClock() - begin < 200ms);
}

} // namespace lagoonspoke
