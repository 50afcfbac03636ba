#include "daemon/StreamOriginService.h"

#include <algorithm>
#include <random>
#include <set>

#include <fmt/format.h>

#include "observe/LogLine.h"
#include "streams/StreamOriginBook.h"

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view commonPrefix = "origins/";
constexpr std::string_view versionsKey = "origins/versions";
constexpr std::string_view recordPrefix = "origins/streams/";

// At which versions that nothing needs any more are forgotten, and failed calls are made again.
constexpr Duration tickInterval = 500ms;
// Between two writes of a record. All instances together write at most 100 times a second.
constexpr Duration shortestWriteInterval = 50ms;
constexpr Duration writeIntervalPerInstance = 10ms;
constexpr Duration failedWritePause = 200ms;
// A stream's record may be written a moment after its first event.
constexpr Duration searchInterval = 150ms;
constexpr Duration shortestSearch = 400ms;
// A stream of a version that the store cannot be told of in this time begins all the same.
constexpr Duration longestVersionWait = 1s;
// A request that is sent to another version after its first attempt waits this long for the record that says so.
constexpr Duration shortestRecordWait = 300ms;
// A deadline ends the caller's wait; its next attempt may have been sent just before.
constexpr Duration retentionMargin = 2s;
// The instances that keep the versions see a new one at the same moment.
constexpr Duration mostVersionsDelay = 200ms;

} // namespace

struct StreamOriginService::State : std::enable_shared_from_this<State> {
    State(asio::io_context& context, const InstanceId& instance, ObjectStorePtr objectStore)
        : io(context)
        , key(recordKeyOf(instance))
        , store(std::move(objectStore))
        , tick(context)
        , readDone(context, asio::steady_timer::time_point::max())
        , writeDone(context, asio::steady_timer::time_point::max())
        , versionsDone(context, asio::steady_timer::time_point::max())
        , versionsDelay(context)
    {
    }

    static std::string recordKeyOf(const InstanceId& instance)
    {
        return fmt::format("{}{}", recordPrefix, instance.value());
    }

    static asio::awaitable<void> run(std::shared_ptr<State>);
    static asio::awaitable<void> writeVersions(std::shared_ptr<State>, bool urgent);
    // Waits until the store has the version, for a bounded time.
    static asio::awaitable<void> storeVersion(std::shared_ptr<State>, TargetName, SoftwareVersion, MonotonicTime end);
    static asio::awaitable<void> writeRecords(std::shared_ptr<State>);
    static asio::awaitable<void> readAll(std::shared_ptr<State>);
    static asio::awaitable<void> removeOrphans(std::shared_ptr<State>);
    static asio::awaitable<void> removeOwnRecord(std::shared_ptr<State>);
    static asio::awaitable<bool> note(
        std::shared_ptr<State>, std::string callerId, TargetName, SoftwareVersion, Duration lifetime);
    static asio::awaitable<StreamOrigin> search(
        std::shared_ptr<State>, std::string callerId, TargetName, Duration bound);

    // Starts the calls that the book asks for, of each kind one at a time.
    void update();
    asio::awaitable<void> pause(Duration);
    asio::awaitable<bool> takeVersions();
    // Gives whether to write again at once.
    asio::awaitable<bool> writeRecord();
    // Wakes those that wait on the timer at this time.
    void wakeAt(MonotonicTime, asio::steady_timer State::*timer);
    Duration writeInterval() const
    {
        return std::max(shortestWriteInterval, writeIntervalPerInstance * static_cast<Duration::rep>(members.size()));
    }

    asio::io_context& io;
    std::string key;
    ObjectStorePtr store;
    StreamOriginBook book;
    std::minstd_rand random { std::random_device {}() };
    asio::steady_timer tick;
    asio::steady_timer readDone; // wakes those that wait for it when it is cancelled
    asio::steady_timer writeDone;
    asio::steady_timer versionsDone;
    asio::steady_timer versionsDelay; // until versions that nobody waits for are written
    std::set<std::string> members; // the keys of their records
    bool keepsVersions = true;
    bool versionsTaken = false;
    bool writesVersions = false;
    bool writesRecords = false;
    bool removesRecord = false;
    bool reads = false;
    bool stopped = false;
    std::optional<std::uint64_t> versionsVersion;
    std::optional<std::uint64_t> recordVersion;
    MonotonicTime lastWrite {};
    std::uint64_t readsWanted = 0;
    std::uint64_t readsDone = 0; // successful ones, by the number that was wanted when they began
    std::uint64_t restorations = 0;
};

asio::awaitable<void> StreamOriginService::State::pause(Duration duration)
{
    asio::steady_timer timer(io, duration);
    co_await timer.async_wait(useTuple);
}

void StreamOriginService::State::wakeAt(MonotonicTime time, asio::steady_timer State::*waiting)
{
    auto timer = std::make_shared<asio::steady_timer>(io, std::max(Duration(0), time - readMonotonicClock()));
    timer->async_wait([self = shared_from_this(), timer, waiting](error_code) { (self.get()->*waiting).cancel(); });
}

asio::awaitable<void> StreamOriginService::State::run(std::shared_ptr<State> state)
{
    while (!state->stopped) {
        if (!state->versionsTaken) {
            // Until the versions of earlier processes are known, none counts as the only one.
            state->versionsTaken = co_await state->takeVersions();
        }
        state->book.advance(readMonotonicClock());
        if (std::exchange(state->restorations, state->store->restorations()) != state->restorations) {
            state->book.forgetStored();
        }
        state->update();
        state->tick.expires_after(tickInterval);
        co_await state->tick.async_wait(useTuple);
    }
}

void StreamOriginService::State::update()
{
    if (stopped) {
        return;
    }
    if (book.isRecordOutdated() && !removesRecord && !std::exchange(writesRecords, true)) {
        asio::co_spawn(io, writeRecords(shared_from_this()), asio::detached);
    }
    if (keepsVersions && book.areVersionsOutdated() && !std::exchange(writesVersions, true)) {
        asio::co_spawn(io, writeVersions(shared_from_this(), false), asio::detached);
    }
    // With one version left of each target, no record is needed any more.
    if (recordVersion && !book.isMixed() && !writesRecords && !std::exchange(removesRecord, true)) {
        asio::co_spawn(io, removeOwnRecord(shared_from_this()), asio::detached);
    }
}

asio::awaitable<bool> StreamOriginService::State::takeVersions()
{
    auto stored = co_await store->get(std::string(versionsKey));
    bool isUnreadable = !stored && stored.error().code == ErrorCode::ProtocolViolation;
    if (!stored && !isUnreadable && stored.error().code != ErrorCode::NotFound) {
        co_return false;
    }
    versionsVersion = stored ? std::optional(stored->version) : std::nullopt;
    auto now = readMonotonicClock();
    auto taken = book.takeVersions(stored ? stored->value : std::string(), now);
    if (!taken || isUnreadable) {
        LogLine(LogLevel::Error, "software_versions_unreadable")
            .add("reason", taken ? stored.error().message : taken.error().message);
        // They are replaced by what this instance knows.
        co_return book.takeVersions({}, now).has_value();
    }
    co_return true;
}

asio::awaitable<void> StreamOriginService::State::writeVersions(std::shared_ptr<State> state, bool urgent)
{
    if (!urgent) {
        std::uniform_int_distribution<Duration::rep> delay(0, mostVersionsDelay.count());
        state->versionsDelay.expires_after(Duration(delay(state->random)));
        co_await state->versionsDelay.async_wait(useTuple);
    }
    bool done = co_await state->takeVersions();
    if (done && state->book.areVersionsOutdated()) {
        bool isReplaced = state->versionsVersion.has_value();
        auto text = state->book.makeVersions();
        auto written = co_await state->store->write(std::string(versionsKey), text, state->versionsVersion);
        LogLine(written ? LogLevel::Info : LogLevel::Warning, "software_versions_stored")
            .add("versions", text)
            .add("error", written ? std::string() : written.error().message);
        done = written.has_value();
        if (written) {
            state->versionsVersion = *written;
            state->book.noteVersionsStored(std::move(text));
            if (isReplaced && !state->book.isMixed()) {
                co_await removeOrphans(state);
            }
        }
    }
    if (!done) {
        co_await state->pause(tickInterval);
    }
    state->writesVersions = false;
    state->versionsDone.cancel();
}

asio::awaitable<void> StreamOriginService::State::storeVersion(
    std::shared_ptr<State> state, TargetName target, SoftwareVersion version, MonotonicTime end)
{
    auto isStored = [&] { return state->book.isVersionStored(target, version); };
    state->wakeAt(end, &State::versionsDone);
    while (!isStored() && !state->stopped && readMonotonicClock() < end) {
        if (!std::exchange(state->writesVersions, true)) {
            asio::co_spawn(state->io, writeVersions(state, true), asio::detached);
        }
        state->versionsDelay.cancel();
        co_await state->versionsDone.async_wait(useTuple);
    }
    if (!isStored()) {
        LogLine(LogLevel::Warning, "software_version_not_stored")
            .add("target", target.value())
            .add("software_version", version.value());
    }
}

// The records of instances that are gone; each of the others removes its own.
asio::awaitable<void> StreamOriginService::State::removeOrphans(std::shared_ptr<State> state)
{
    auto records = co_await state->store->list(std::string(recordPrefix));
    for (std::size_t i = 0; records && i < records->size() && !state->stopped && !state->book.isMixed(); ++i) {
        const auto& record = records->at(i);
        if (!state->members.contains(record.key)) {
            co_await state->store->remove(record.key, record.version);
            co_await state->pause(writeIntervalPerInstance);
        }
    }
}

asio::awaitable<void> StreamOriginService::State::removeOwnRecord(std::shared_ptr<State> state)
{
    co_await state->store->remove(state->key, *state->recordVersion);
    // If it is still there, the next write finds that out.
    state->recordVersion.reset();
    state->removesRecord = false;
    state->update();
}

asio::awaitable<void> StreamOriginService::State::writeRecords(std::shared_ptr<State> state)
{
    bool again = false;
    while (!state->stopped && state->book.isRecordOutdated()) {
        auto due = again ? MonotonicTime() : state->lastWrite + state->writeInterval();
        if (auto now = readMonotonicClock(); now < due) {
            co_await state->pause(due - now);
        }
        state->lastWrite = readMonotonicClock();
        again = co_await state->writeRecord();
        if (!again && state->book.isRecordOutdated()) {
            co_await state->pause(failedWritePause);
        }
    }
    state->writesRecords = false;
}

asio::awaitable<bool> StreamOriginService::State::writeRecord()
{
    auto changes = book.changes();
    auto written = co_await store->write(key, book.makeRecord(readMonotonicClock()), recordVersion);
    if (written) {
        recordVersion = *written;
        book.noteRecordStored(changes);
        writeDone.cancel();
        // Streams that were granted meanwhile go with the next write, in its time.
        co_return false;
    }
    LogLine(LogLevel::Warning, "stream_record_not_stored").add("key", key).add("error", written.error().message);
    // An earlier process of this instance wrote the record, or the answer to a write of this one was lost.
    auto stored = co_await store->get(key);
    if (!stored) {
        bool isGone = stored.error().code == ErrorCode::NotFound;
        recordVersion = isGone ? std::nullopt : recordVersion;
        co_return isGone;
    }
    recordVersion = stored->version;
    if (auto taken = book.takeRecord(stored->value, true, readMonotonicClock()); !taken) {
        LogLine(LogLevel::Error, "stream_record_unreadable").add("key", key).add("reason", taken.error().message);
    }
    co_return true;
}

// Reads the versions and all records for those that wait.
asio::awaitable<void> StreamOriginService::State::readAll(std::shared_ptr<State> state)
{
    auto wanted = state->readsWanted;
    auto objects = co_await state->store->list(std::string(commonPrefix));
    if (!objects) {
        LogLine(LogLevel::Warning, "stream_records_unread").add("error", objects.error().message);
    }
    auto now = readMonotonicClock();
    for (std::size_t i = 0; objects && i < objects->size(); ++i) {
        const auto& object = objects->at(i);
        auto text = object.value.value_or("");
        // An earlier process of this instance wrote it; knowing it saves the first write a conflict.
        bool isOwn = object.key == state->key && !state->recordVersion && !state->writesRecords;
        if (isOwn) {
            state->recordVersion = object.version;
        }
        auto taken = object.key == versionsKey ? state->book.takeVersions(text, now)
                                               : state->book.takeRecord(text, isOwn, now);
        if (!taken) {
            LogLine(LogLevel::Error, "stream_record_unreadable")
                .add("key", object.key)
                .add("reason", taken.error().message);
        }
    }
    if (objects) {
        state->readsDone = wanted;
    } else {
        // Those that wait begin the next read at once, and calls that fail are billed too.
        co_await state->pause(searchInterval);
    }
    state->reads = false;
    state->readDone.cancel();
}

asio::awaitable<StreamOrigin> StreamOriginService::State::search(
    std::shared_ptr<State> state, std::string callerId, TargetName target, Duration bound)
{
    auto end = readMonotonicClock() + std::min(bound, std::max(shortestSearch, 2 * state->writeInterval()));
    if (auto known = state->book.findOwn(callerId, target, readMonotonicClock())) {
        co_return *known;
    }
    state->wakeAt(end, &State::readDone);
    while (!state->stopped && readMonotonicClock() < end) {
        // A read that began before does not count.
        auto wanted = ++state->readsWanted;
        while (!state->stopped && state->readsDone < wanted && readMonotonicClock() < end) {
            if (!std::exchange(state->reads, true)) {
                asio::co_spawn(state->io, readAll(state), asio::detached);
            }
            co_await state->readDone.async_wait(useTuple);
        }
        if (state->readsDone >= wanted) {
            auto origin = state->book.findRead(callerId, target, readMonotonicClock());
            bool isFinal = callerId.empty() || !state->book.isMixed(target);
            if (origin.source != StreamOrigin::Source::Unknown || isFinal) {
                co_return origin;
            }
        }
        co_await state->pause(searchInterval);
    }
    co_return StreamOrigin();
}

asio::awaitable<bool> StreamOriginService::State::note(
    std::shared_ptr<State> state, std::string callerId, TargetName target, SoftwareVersion version, Duration lifetime)
{
    auto now = readMonotonicClock();
    bool changed = state->book.noteGranted(callerId, target, version, lifetime, now);
    state->update();
    // Without its version in the store, the stream would be taken for one of the only version that the store has.
    if (state->versionsTaken && !state->book.isVersionStored(target, version)) {
        co_await storeVersion(state, target, version, now + std::min(lifetime / 2, longestVersionWait));
    }
    if (!changed || !state->book.isMixed(target)) {
        co_return true;
    }
    auto changes = state->book.changes();
    auto end = now + std::min(lifetime / 2, std::max(shortestRecordWait, 2 * state->writeInterval()));
    state->wakeAt(end, &State::writeDone);
    while (!state->book.isRecordStored(changes) && !state->stopped && readMonotonicClock() < end) {
        co_await state->writeDone.async_wait(useTuple);
    }
    co_return state->book.isRecordStored(changes);
}

StreamOriginService::StreamOriginService(asio::io_context& io, const InstanceId& instance, ObjectStorePtr store)
    : m_state(std::make_shared<State>(io, instance, std::move(store)))
{
}

StreamOriginService::~StreamOriginService()
{
    stop();
}

void StreamOriginService::start()
{
    asio::co_spawn(m_state->io, State::run(m_state), asio::detached);
}

void StreamOriginService::stop()
{
    if (!std::exchange(m_state->stopped, true)) {
        m_state->tick.cancel();
        m_state->readDone.cancel();
        m_state->writeDone.cancel();
        m_state->versionsDone.cancel();
        m_state->versionsDelay.cancel();
    }
}

void StreamOriginService::applySnapshot(const SnapshotPtr& snapshot)
{
    Duration longest {};
    for (const auto& [name, spec] : snapshot->configuration().classes) {
        longest = std::max(longest, spec.deadline);
    }
    m_state->book.setRetention(longest + retentionMargin, readMonotonicClock());
}

void StreamOriginService::applyServers(const std::vector<BackendServer>& servers)
{
    m_state->book.setServers(servers, readMonotonicClock());
    m_state->update();
}

void StreamOriginService::applyRole(bool keepsVersions, const std::vector<Member>& members)
{
    m_state->keepsVersions = keepsVersions;
    m_state->members.clear();
    for (const auto& member : members) {
        m_state->members.insert(State::recordKeyOf(member.id));
    }
}

asio::awaitable<bool> StreamOriginService::noteGranted(
    std::string callerId, TargetName target, SoftwareVersion version, Duration lifetime)
{
    co_return co_await asio::co_spawn(m_state->io,
        State::note(m_state, std::move(callerId), std::move(target), std::move(version), lifetime),
        asio::use_awaitable);
}

asio::awaitable<StreamOrigin> StreamOriginService::find(std::string callerId, TargetName target, Duration bound)
{
    co_return co_await asio::co_spawn(
        m_state->io, State::search(m_state, std::move(callerId), std::move(target), bound), asio::use_awaitable);
}

} // namespace lagoonspoke
