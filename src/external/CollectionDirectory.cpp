#include "external/CollectionDirectory.h"

#include <algorithm>
#include <set>

#include <boost/json.hpp>

#include "observe/LogLine.h"
#include "settings/JsonReader.h"

namespace lagoonspoke {

namespace {

constexpr std::string_view instancePrefix = "instance/";
// Listeners drop a kept item when a reader tells so. Without its word they keep it for this much longer, in which they
// notice that the readers are silent and read the store themselves.
constexpr Duration keptByListeners = std::chrono::milliseconds(1500);

std::string encodeInstance(const Member& member)
{
    return boost::json::serialize(boost::json::object { { "data_centre", member.dataCentre.value() },
        { "region", member.region.value() }, { "peer_address", member.peerAddress } });
}

boost::json::object writeEvacuations(const EvacuationList& list)
{
    boost::json::array names;
    for (const auto& dataCentre : list.dataCentres) {
        names.emplace_back(dataCentre.value());
    }
    return { { "revision", list.revision }, { "data_centres", std::move(names) } };
}

EvacuationList readEvacuations(JsonReader& reader)
{
    EvacuationList list;
    constexpr auto most = std::numeric_limits<std::int64_t>::max();
    list.revision = static_cast<std::uint64_t>(reader.readInteger("revision", 0, most));
    for (auto& name : reader.readStrings("data_centres", std::vector<std::string>())) {
        list.dataCentres.insert(DataCentreId(std::move(name)));
    }
    return list;
}

Outcome<Member> decodeInstance(const CollectionItem& item)
{
    auto value = parseJson(item.value);
    if (!value) {
        return tl::make_unexpected(value.error());
    }
    std::vector<Error> errors;
    JsonReader reader(*value, item.name, errors);
    Member member;
    member.id = InstanceId(item.name);
    member.dataCentre = DataCentreId(reader.readString("data_centre"));
    member.region = RegionId(reader.readString("region"));
    member.peerAddress = reader.readString("peer_address");
    if (!errors.empty()) {
        return makeError(ErrorCode::ProtocolViolation, formatErrors(errors));
    }
    return member;
}

} // namespace

struct CollectionDirectory::State {
    State(asio::io_context& io, Options directoryOptions, ObjectCollectionPtr collection, ObjectStorePtr objectStore,
        Sink directorySink)
        : timer(io)
        , registrationTimer(io)
        , options(std::move(directoryOptions))
        , instances(std::move(collection))
        , store(std::move(objectStore))
        , sink(std::move(directorySink))
    {
    }

    asio::steady_timer timer;
    asio::steady_timer registrationTimer;
    Options options;
    ObjectCollectionPtr instances;
    ObjectStorePtr store;
    Sink sink;
    std::set<std::string> unreadable; // entries that were logged
    struct SeenEntry {
        std::string value;
        MonotonicTime seenAt;
    };
    std::map<std::string, SeenEntry> seen; // of the backend servers listed
    std::set<std::string> unusable; // entries that name no server
    bool registered = false;
    bool stopped = false;

    std::vector<BackendServer> decodeServers(const CollectionFollower&, const DecodeServer&);
    void applyInstances(const CollectionList&) const;
    static asio::awaitable<void> listInstances(std::shared_ptr<State>);
    static asio::awaitable<void> registerSelf(std::shared_ptr<State>);
    static asio::awaitable<bool> writeSelf(const State&);
};

CollectionDirectory::CollectionDirectory(Options options, ObjectCollectionPtr servers, DecodeServer decode,
    ObjectCollectionPtr instances, ObjectStorePtr store, ObjectCollectionPtr evacuations)
    : m_options(std::move(options))
    , m_servers(std::move(servers))
    , m_decode(std::move(decode))
    , m_instances(std::move(instances))
    , m_store(std::move(store))
    , m_evacuations(std::move(evacuations))
{
}

CollectionDirectory::~CollectionDirectory()
{
    stop();
}

void CollectionDirectory::start(asio::io_context& io, const std::string& peerAddress, Sink sink)
{
    m_options.self.peerAddress = peerAddress;
    m_state = std::make_shared<State>(io, m_options, m_instances, m_store, std::move(sink));
    CollectionWatcher::Callbacks callbacks;
    callbacks.updated = [this](const auto& items) {
        auto servers = m_state->decodeServers(m_watcher->follower(), m_decode);
        noteItems(items);
        m_state->sink.servers(std::move(servers));
    };
    auto follower = m_options.follower;
    follower.watchPause = m_options.watchPause;
    m_watcher = std::make_unique<CollectionWatcher>(io, "servers", m_servers, follower, std::move(callbacks));
    m_watcher->start();
    startEvacuationWatcher(io);
    asio::co_spawn(io, State::registerSelf(m_state), asio::detached);
    asio::co_spawn(io, State::listInstances(m_state), asio::detached);
}

void CollectionDirectory::startEvacuationWatcher(asio::io_context& io)
{
    if (!m_evacuations) {
        return;
    }
    CollectionWatcher::Callbacks callbacks;
    callbacks.updated = [this](const auto& items) {
        EvacuationList list { m_evacuationWatcher->follower().itemsRevision(), {} };
        for (const auto& [name, value] : items) {
            list.dataCentres.insert(DataCentreId(name));
        }
        m_state->sink.evacuations(std::move(list));
    };
    auto follower = m_options.follower;
    follower.renewalInterval = m_options.evacuationRenewal;
    // An evacuation that was taken back while the store was away is over at once.
    follower.returnGrace = Duration(0);
    m_evacuationWatcher
        = std::make_unique<CollectionWatcher>(io, "evacuations", m_evacuations, follower, std::move(callbacks));
    m_evacuationWatcher->start();
}

void CollectionDirectory::setEvacuations(EvacuationList list)
{
    m_evacuationList = std::move(list);
}

void CollectionDirectory::stop()
{
    if (m_state && !m_state->stopped) {
        m_state->stopped = true;
        m_state->timer.cancel();
        m_state->registrationTimer.cancel();
        m_watcher->stop();
        if (m_evacuationWatcher) {
            m_evacuationWatcher->stop();
        }
    }
}

void CollectionDirectory::setReading(bool reads, WatchTurn turn)
{
    if (m_watcher) {
        m_watcher->tell(CollectionRoleChanged { reads, turn });
    }
    if (m_evacuationWatcher) {
        m_evacuationWatcher->tell(CollectionRoleChanged { reads, turn });
    }
}

bool CollectionDirectory::isCurrent() const
{
    return m_watcher && m_watcher->follower().isCurrent();
}

std::uint64_t CollectionDirectory::serversRevision() const
{
    return m_watcher ? m_watcher->follower().itemsRevision() : 0;
}

std::string CollectionDirectory::shareLastChange() const
{
    return m_lastChange;
}

bool CollectionDirectory::isShared(const std::string& name) const
{
    return !m_state->unusable.contains(name);
}

bool CollectionDirectory::isKept(const std::string& name) const
{
    return m_watcher->follower().kept().contains(name);
}

Duration CollectionDirectory::keptFor(const std::string& name) const
{
    auto remaining = std::max(Duration(0), m_watcher->follower().kept().at(name) - readMonotonicClock());
    return isCurrent() ? remaining + keptByListeners : remaining;
}

boost::json::object CollectionDirectory::describeRemoval(const std::string& name) const
{
    boost::json::object removal { { "name", name }, { "removed", true } };
    if (isKept(name)) {
        removal["kept_ms"] = static_cast<std::int64_t>(toMilliseconds(keptFor(name)));
    }
    return removal;
}

// Peers are told of the store's items. What this instance keeps besides is not on the list at that revision, and a peer
// that knows it to be gone must not take it back.
void CollectionDirectory::noteItems(const std::map<std::string, std::string>& items)
{
    boost::json::array changes;
    std::map<std::string, std::string> listed;
    std::set<std::string> kept;
    for (const auto& [name, value] : items) {
        if (!isShared(name)) {
            continue;
        }
        if (isKept(name)) {
            kept.insert(name);
            continue;
        }
        if (auto it = m_items.find(name); it == m_items.end() || it->second != value) {
            changes.push_back(boost::json::object { { "name", name }, { "value", value } });
        }
        listed.emplace(name, value);
    }
    for (const auto& [name, value] : m_items) {
        if (!listed.contains(name)) {
            changes.push_back(describeRemoval(name));
        }
    }
    for (const auto& name : m_kept) {
        if (!items.contains(name)) {
            changes.push_back(describeRemoval(name));
        }
    }
    auto revision = m_watcher->follower().itemsRevision();
    m_lastChange = boost::json::serialize(
        boost::json::object { { "from", m_itemsRevision }, { "revision", revision }, { "items", std::move(changes) } });
    m_items = std::move(listed);
    m_kept = std::move(kept);
    m_itemsRevision = revision;
}

std::string CollectionDirectory::shareServers() const
{
    if (!m_watcher || !m_watcher->follower().isKnown()) {
        return {};
    }
    boost::json::array items;
    for (const auto& [name, value] : m_watcher->follower().items()) {
        if (!isShared(name)) {
            continue;
        }
        auto item = isKept(name) ? describeRemoval(name) : boost::json::object { { "name", name } };
        item["value"] = value;
        items.push_back(std::move(item));
    }
    boost::json::object text { { "revision", m_watcher->follower().itemsRevision() }, { "items", std::move(items) } };
    if (m_evacuationList) {
        text["evacuations"] = writeEvacuations(*m_evacuationList);
    }
    return boost::json::serialize(text);
}

Outcome<void> CollectionDirectory::hearServers(std::string_view text)
{
    auto value = parseJson(text);
    if (!value) {
        return tl::make_unexpected(value.error());
    }
    std::vector<Error> errors;
    JsonReader reader(*value, "", errors);
    constexpr auto most = std::numeric_limits<std::int64_t>::max();
    constexpr std::int64_t mostKeptMs = 60'000;
    bool isChange = reader.has("from");
    auto from = static_cast<std::uint64_t>(reader.readInteger("from", 0, most, 0));
    CollectionChanges heard;
    heard.revision = static_cast<std::uint64_t>(reader.readInteger("revision", 0, most));
    for (auto& it : reader.readObjects("items")) {
        CollectionChange change { { it.readString("name"), it.readString("value", "") }, it.readBool("removed", false),
            std::chrono::milliseconds(it.readInteger("kept_ms", 0, mostKeptMs, 0)) };
        heard.changes.push_back(std::move(change));
    }
    std::optional<EvacuationList> evacuations;
    if (auto told = reader.readObject("evacuations")) {
        evacuations = readEvacuations(*told);
    }
    if (!errors.empty()) {
        return makeError(ErrorCode::ProtocolViolation, formatErrors(errors));
    }
    if (!m_watcher) {
        return {};
    }
    if (evacuations && m_evacuations) {
        m_state->sink.evacuations(std::move(*evacuations));
    }
    if (isChange) {
        if (from != serversRevision() && heard.revision > serversRevision()) {
            return makeError(ErrorCode::Conflict, "changes are missing in between");
        }
        m_watcher->tell(CollectionChangesHeard { from, std::move(heard) });
        return {};
    }
    CollectionHeard whole;
    whole.list.revision = heard.revision;
    for (auto& change : heard.changes) {
        if (change.removed) {
            whole.kept.push_back(std::move(change));
        } else {
            whole.list.items.push_back(std::move(change.item));
        }
    }
    m_watcher->tell(std::move(whole));
    return {};
}

std::vector<BackendServer> CollectionDirectory::State::decodeServers(
    const CollectionFollower& follower, const DecodeServer& decode)
{
    const auto& items = follower.items();
    std::vector<BackendServer> servers;
    auto now = readMonotonicClock();
    std::erase_if(seen, [&](const auto& it) { return !items.contains(it.first); });
    unusable.clear();
    for (const auto& [name, value] : items) {
        auto& entry = seen[name];
        if (entry.value != value) {
            entry = { value, now };
        }
        auto server = decode(name, value, entry.seenAt);
        if (!server) {
            if (unreadable.insert(name).second) {
                LogLine(LogLevel::Warning, "server_entry_unreadable")
                    .add("entry", name)
                    .add("error", server.error().message);
            }
        }
        if (!server || !*server) {
            unusable.insert(name);
            continue;
        }
        servers.push_back(std::move(**server));
        servers.back().lapsed = follower.kept().contains(name);
    }
    std::erase_if(unreadable, [&](const std::string& name) { return !items.contains(name); });
    return servers;
}

void CollectionDirectory::State::applyInstances(const CollectionList& list) const
{
    std::vector<Member> members;
    for (const auto& item : list.items) {
        if (auto member = decodeInstance(item)) {
            members.push_back(std::move(*member));
        } else {
            LogLine(LogLevel::Warning, "instance_entry_unreadable")
                .add("entry", item.name)
                .add("error", member.error().message);
        }
    }
    sink.instances(std::move(members));
}

asio::awaitable<void> CollectionDirectory::State::listInstances(std::shared_ptr<State> self)
{
    bool first = true;
    while (!self->stopped) {
        // The first list finds those that registered a moment ago.
        auto list = co_await self->instances->list(!first);
        if (self->stopped) {
            break;
        }
        if (list) {
            self->applyInstances(*list);
            first = false;
            auto isSelf = [&](const CollectionItem& it) { return it.name == self->options.self.id.value(); };
            if (self->registered && std::ranges::none_of(list->items, isSelf)) {
                // A store that was restored from a copy may have lost the entry. A list that is only stale has none of
                // a new instance either; then the entry is found unchanged.
                bool written = co_await writeSelf(*self);
                LogLine(LogLevel::Warning, "instance_entry_missing")
                    .add("entry", self->options.self.id.value())
                    .add("written", written);
            }
        }
        // Once the first list is there, members tell each other of new ones.
        self->timer.expires_after(first ? self->options.registrationRetry : self->options.instanceInterval);
        co_await self->timer.async_wait(useTuple);
    }
}

asio::awaitable<bool> CollectionDirectory::State::writeSelf(const State& self)
{
    auto key = std::string(instancePrefix) + self.options.self.id.value();
    auto value = encodeInstance(self.options.self);
    auto created = co_await self.store->create(key, value);
    if (created || created.error().code != ErrorCode::Conflict) {
        co_return created.has_value();
    }
    auto present = co_await self.store->get(key);
    if (!present) {
        co_return false;
    }
    if (present->value == value) {
        co_return true;
    }
    auto updated = co_await self.store->update(std::move(key), std::move(value), present->version);
    co_return updated.has_value();
}

asio::awaitable<void> CollectionDirectory::State::registerSelf(std::shared_ptr<State> self)
{
    while (!self->stopped) {
        self->registered = co_await writeSelf(*self);
        if (self->registered) {
            break;
        }
        self->registrationTimer.expires_after(self->options.registrationRetry);
        co_await self->registrationTimer.async_wait(useTuple);
    }
}

} // namespace lagoonspoke
