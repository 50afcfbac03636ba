#include "external/CollectionDirectory.h"

#include <set>

#include <catch2/catch.hpp>

#include "wire/FrameDecoder.h"

namespace lagoonspoke {

using namespace std::chrono_literals;

namespace {

// A collection in memory, with a way to it for each instance.
struct Store {
    std::map<std::string, std::string> items;
    std::uint64_t revision = 5;
};

class CollectionView final : public ObjectCollection {
public:
    explicit CollectionView(Store& store)
        : m_store(store)
    {
    }

    asio::awaitable<Outcome<CollectionList>> list(bool) const override
    {
        if (cut) {
            co_return makeError(ErrorCode::Unavailable, "cut");
        }
        CollectionList list;
        list.revision = m_store.revision;
        for (const auto& [name, value] : m_store.items) {
            list.items.push_back({ name, value });
        }
        co_return list;
    }

    // Ends when the store changes, without saying how; the caller lists again.
    asio::awaitable<Outcome<CollectionChanges>> watch(std::uint64_t revision, Duration) const override
    {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        while (deaf || (!cut && m_store.revision == revision)) {
            timer.expires_after(1ms);
            co_await timer.async_wait(useTuple);
        }
        if (cut) {
            co_return makeError(ErrorCode::Unavailable, "cut");
        }
        co_return makeError(ErrorCode::NotFound, "the history is gone");
    }

    std::optional<MonotonicTime> lastOutageEnd() const override { return outageEnd; }

    void heal()
    {
        cut = false;
        outageEnd = readMonotonicClock();
    }

    bool cut = false;
    std::optional<MonotonicTime> outageEnd;
    bool deaf = false; // watches end no more

private:
    Store& m_store;
};

class NoStore final : public ObjectStore {
public:
    asio::awaitable<Outcome<StoredObject>> get(std::string) const override { co_return unavailable(); }
    asio::awaitable<Outcome<std::uint64_t>> create(std::string, std::string) const override { co_return unavailable(); }
    asio::awaitable<Outcome<std::uint64_t>> update(std::string, std::string, std::uint64_t) const override
    {
        co_return unavailable();
    }
    asio::awaitable<Outcome<void>> remove(std::string, std::uint64_t) const override { co_return unavailable(); }
    asio::awaitable<Outcome<std::vector<ObjectEntry>>> list(std::string) const override { co_return unavailable(); }

private:
    static tl::unexpected<Error> unavailable() { return makeError(ErrorCode::Unavailable, "no store"); }
};

struct Instance {
    Instance(asio::io_context& io, Store& store)
        : view(std::make_shared<CollectionView>(store))
        , directory(makeOptions(), view, decode, view, std::make_shared<NoStore>())
    {
        InstanceDirectory::Sink sink;
        sink.instances = [](const std::vector<Member>&) {};
        sink.servers = [this](std::vector<BackendServer> list) { servers = std::move(list); };
        directory.start(io, "127.0.0.1:1", std::move(sink));
    }

    static CollectionDirectory::Options makeOptions()
    {
        CollectionDirectory::Options options;
        options.follower.firstRetry = 5ms;
        options.follower.longestRetry = 5ms;
        options.follower.returnGrace = 1500ms;
        return options;
    }
    static Outcome<std::optional<BackendServer>> decode(
        const std::string& name, const std::string& value, MonotonicTime)
    {
        if (value.starts_with("odd")) {
            return makeError(ErrorCode::ProtocolViolation, "odd");
        }
        BackendServer server;
        server.id = BackendServerId(name);
        return std::optional(std::move(server));
    }

    void stopReading()
    {
        directory.setReading(false, {});
        view->deaf = true;
    }

    std::set<std::string> names(bool lapsed = false) const
    {
        std::set<std::string> names;
        for (const auto& it : servers) {
            if (it.lapsed == lapsed) {
                names.insert(it.id.value());
            }
        }
        return names;
    }

    std::shared_ptr<CollectionView> view;
    std::vector<BackendServer> servers;
    CollectionDirectory directory;
};

using Names = std::set<std::string>;

struct Kit {
    // Three servers, one of which is removed while the reader is cut off from the store.
    Kit()
    {
        const Names all { "gone", "stays", "third" };
        until([&] { return reader.names() == all && informed.names() == all && uninformed.names() == all; });
        reader.view->cut = true;
        until([&] { return !reader.directory.isCurrent(); });
        uninformed.stopReading();
        store.items.erase("gone");
        ++store.revision;
        until([&] { return informed.names() == Names { "stays", "third" }; });
        informed.stopReading();
        store.items.emplace("new", "1");
        ++store.revision;
        reader.view->heal();
        until([&] { return reader.names() == Names { "new", "stays", "third" }; });
    }

    void run(Duration time)
    {
        io.restart();
        io.run_for(time);
    }
    void until(const std::function<bool()>& condition)
    {
        auto end = std::chrono::steady_clock::now() + 5s;
        while (!condition()) {
            REQUIRE(std::chrono::steady_clock::now() < end);
            run(2ms);
        }
    }
    void tell(Instance& listener) const { CHECK(listener.directory.hearServers(reader.directory.shareServers())); }

    asio::io_context io;
    Store store { { { "gone", "1" }, { "stays", "1" }, { "third", "1" } }, 5 };
    Instance reader { io, store };
    Instance informed { io, store }; // knows of the removal
    Instance uninformed { io, store };
};

} // namespace

// Guards against requests to a server that has left, which come back with the list of a reader that was cut off when
// the server left.
TEST_CASE("a reader that returns does not bring back servers that its listeners know to be gone")
{
    Kit kit;
    CHECK(kit.reader.names() == Names { "new", "stays", "third" });
    CHECK(kit.reader.names(true) == Names { "gone" });
    REQUIRE(kit.informed.names() == Names { "stays", "third" });
    kit.tell(kit.informed);
    CHECK(kit.informed.names() == Names { "new", "stays", "third" });
    CHECK(kit.informed.names(true).empty());
}

// Guards against listeners that have no servers after an outage of the store in which entries lapsed.
TEST_CASE("listeners keep a lapsed server for as long as the reader that tells of it")
{
    Kit kit;
    REQUIRE(kit.uninformed.names() == Names { "gone", "stays", "third" });
    kit.tell(kit.uninformed);
    CHECK(kit.uninformed.names() == Names { "new", "stays", "third" });
    CHECK(kit.uninformed.names(true) == Names { "gone" });
    SECTION("it is back")
    {
        kit.store.items.emplace("gone", "1");
        ++kit.store.revision;
        kit.until([&] { return kit.reader.names().contains("gone"); });
        CHECK(kit.uninformed.directory.hearServers(kit.reader.directory.shareLastChange()));
        CHECK(kit.uninformed.names() == Names { "gone", "new", "stays", "third" });
    }
    SECTION("it is not, as the reader says")
    {
        kit.until([&] { return kit.reader.names(true).empty(); });
        CHECK(kit.uninformed.names(true) == Names { "gone" });
        CHECK(kit.uninformed.directory.hearServers(kit.reader.directory.shareLastChange()));
        CHECK(kit.uninformed.names(true).empty());
    }
    SECTION("the reader says nothing more")
    {
        kit.until([&] { return kit.uninformed.names(true).empty(); });
    }
}

// Guards against an instance that starts in an outage of the store and sends requests to an evacuated data centre.
TEST_CASE("evacuations are shared with the list of servers")
{
    asio::io_context io;
    Store store { { { "s", "1" } }, 5 };
    Store evacuationStore { { { "a", "{}" } }, 6 };
    auto view = std::make_shared<CollectionView>(store);
    auto cut = std::make_shared<CollectionView>(store);
    cut->cut = true;
    auto open = [&](const std::shared_ptr<CollectionView>& source, std::vector<EvacuationList>& lists) {
        auto evacuationView = std::make_shared<CollectionView>(evacuationStore);
        evacuationView->cut = source->cut;
        auto directory = std::make_unique<CollectionDirectory>(
            Instance::makeOptions(), source, Instance::decode, source, std::make_shared<NoStore>(), evacuationView);
        InstanceDirectory::Sink sink;
        sink.instances = [](const std::vector<Member>&) {};
        sink.servers = [](const std::vector<BackendServer>&) {};
        sink.evacuations = [&lists](EvacuationList list) { lists.push_back(std::move(list)); };
        directory->start(io, "127.0.0.1:1", std::move(sink));
        return directory;
    };
    std::vector<EvacuationList> read;
    std::vector<EvacuationList> told;
    auto reader = open(view, read);
    auto starting = open(cut, told);
    io.run_for(30ms);
    REQUIRE(read.size() == 1);
    CHECK(told.empty());
    reader->setEvacuations(read.back());
    CHECK(starting->hearServers(reader->shareServers()));
    REQUIRE(told.size() == 1);
    CHECK(told.back().revision == 6);
    CHECK(told.back().dataCentres == std::set { DataCentreId("a") });
    evacuationStore.items.clear();
    ++evacuationStore.revision;
    io.restart();
    io.run_for(30ms);
    REQUIRE(read.size() == 2);
    CHECK(read.back().dataCentres.empty());
}

// Guards against an instance that starts in an outage of the store and knows no server.
TEST_CASE("an instance without any list takes over the lapsed servers")
{
    Kit kit;
    Instance starting(kit.io, kit.store);
    starting.view->cut = true;
    kit.run(30ms); // its first call fails
    REQUIRE(starting.servers.empty());
    kit.tell(starting);
    CHECK(starting.names() == Names { "new", "stays", "third" });
    CHECK(starting.names(true) == Names { "gone" });
}

// Guards against listeners that get no list any more, because one foreign entry makes it larger than a message.
TEST_CASE("peers are not told of entries that name no server")
{
    Kit kit;
    const Names all { "new", "odd", "stays", "third" };
    kit.store.items.emplace("odd", "1");
    ++kit.store.revision;
    kit.until([&] { return kit.reader.names() == all; });
    kit.tell(kit.uninformed);
    REQUIRE(kit.uninformed.names() == all);
    kit.store.items["odd"] = "odd" + std::string(maxFrameBytes, 'x');
    ++kit.store.revision;
    const Names usable { "new", "stays", "third" };
    kit.until([&] { return kit.reader.names() == usable; });
    CHECK(kit.reader.directory.shareServers().size() < maxFrameBytes);
    CHECK(kit.reader.directory.shareLastChange().size() < maxFrameBytes);
    CHECK(kit.uninformed.directory.hearServers(kit.reader.directory.shareLastChange()));
    CHECK(kit.uninformed.names() == usable);
    // It names a server again.
    kit.store.items["odd"] = "2";
    ++kit.store.revision;
    kit.until([&] { return kit.reader.names() == all; });
    CHECK(kit.uninformed.directory.hearServers(kit.reader.directory.shareLastChange()));
    CHECK(kit.uninformed.names() == all);
}

} // namespace lagoonspoke
