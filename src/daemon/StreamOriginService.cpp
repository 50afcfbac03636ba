#include "daemon/StreamOriginService.h"

#include <algorithm>
#include <random>

#include <fmt/format.h>

#include "observe/LogLine.h"
#include "streams/StreamOriginBook.h"

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

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
// A request that is sent to another version after its first attempt waits this long for the record that says so.
constexpr Duration longestRecordWait = 300ms;
// A deadline ends the caller's wait; its next attempt may have been sent just before.
constexpr Duration retentionMargin = 2s;
// The instances that keep the versions see a new one at the same moment.
constexpr Duration mostVersionsDelay = 200ms;

} // namespace

struct StreamOriginService::State : std::enable_shared_from_this<State> {
    State(asio::io_context& context, const InstanceId& instance, ObjectStorePtr objectStore)
        : io(context)
        , key(fmt::format("{}{}", recordPrefix, instance.value()))
        , store(std::move(objectStore))
        , tick(context)
        , readDone(context, asio::steady_timer::time_point::max())
        , writeDone(context, asio::steady_timer::time_point::max())
    {
    }

    static asio::awaitable<void> run(std::shared_ptr<State>);
    static asio::awaitable<void> readVersions(std::shared_ptr<State>);
    static asio::awaitable<void> writeVersions(std::shared_ptr<State>);
    static asio::awaitable<void> writeRecords(std::shared_ptr<State>);
    static asio::awaitable<void> readRecords(std::shared_ptr<State>);
    static asio::awaitable<void> removeRecords(std::shared_ptr<State>);
    static asio::awaitable<void> note(
        std::shared_ptr<State>, std::string callerId, TargetName, SoftwareVersion, Duration lifetime);
    static asio::awaitable<StreamOrigin> search(
        std::shared_ptr<State>, std::string callerId, TargetName, Duration bound);

    // Starts the calls that the book asks for, of each kind one at a time.
    void update();
    asio::awaitable<void> pause(Duration);
    asio::awaitable<bool> takeVersions();
    asio::awaitable<bool> writeRecord();
    asio::awaitable<void> awaitRecords();
    Duration writeInterval() const
    {
        return std::max(shortestWriteInterval, writeIntervalPerInstance * static_cast<Duration::rep>(instances));
    }

    asio::io_context& io;
    std::string key;
    ObjectStorePtr store;
    StreamOriginBook book;
    std::minstd_rand random { std::random_device {}() };
    asio::steady_timer tick;
    asio::steady_timer readDone; // wakes those that wait for it when it is cancelled
    asio::steady_timer writeDone;
    std::size_t instances = 1;
    bool keepsVersions = true;
    bool writesVersions = false;
    bool writesRecords = false;
    bool readsRecords = false;
    bool stopped = false;
    std::optional<std::uint64_t> versionsVersion;
    std::optional<std::uint64_t> recordVersion;
    MonotonicTime lastWrite {};
    std::uint64_t readsWanted = 0;
    std::uint64_t readsDone = 0;
    std::uint64_t restorations = 0;
};

asio::awaitable<void> StreamOriginService::State::pause(Duration duration)
{
    asio::steady_timer timer(io, duration);
    co_await timer.async_wait(useTuple);
}

asio::awaitable<void> StreamOriginService::State::run(std::shared_ptr<State> state)
{
    co_await readVersions(state);
    while (!state->stopped) {
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
    if (book.isRecordOutdated() && !std::exchange(writesRecords, true)) {
        asio::co_spawn(io, writeRecords(shared_from_this()), asio::detached);
    }
    if (keepsVersions && book.areVersionsOutdated() && !std::exchange(writesVersions, true)) {
        asio::co_spawn(io, writeVersions(shared_from_this()), asio::detached);
    }
}

asio::awaitable<bool> StreamOriginService::State::takeVersions()
{
    auto stored = co_await store->get(std::string(versionsKey));
    if (!stored && stored.error().code != ErrorCode::NotFound) {
        co_return false;
    }
    versionsVersion = stored ? std::optional(stored->version) : std::nullopt;
    auto now = readMonotonicClock();
    if (auto taken = book.takeVersions(stored ? stored->value : std::string(), now); !taken) {
        LogLine(LogLevel::Error, "software_versions_unreadable").add("reason", taken.error().message);
        // It is replaced by what this instance knows.
        co_return book.takeVersions({}, now).has_value();
    }
    co_return true;
}

// Until the versions of earlier processes are known, each target counts as having several.
asio::awaitable<void> StreamOriginService::State::readVersions(std::shared_ptr<State> state)
{
    bool taken = false;
    while (!state->stopped && !taken) {
        taken = co_await state->takeVersions();
        if (!taken) {
            co_await state->pause(tickInterval);
        }
    }
}

asio::awaitable<void> StreamOriginService::State::writeVersions(std::shared_ptr<State> state)
{
    std::uniform_int_distribution<Duration::rep> delay(0, mostVersionsDelay.count());
    co_await state->pause(Duration(delay(state->random)));
    bool isReplaced = state->versionsVersion.has_value();
    bool taken = co_await state->takeVersions();
    if (taken && state->book.areVersionsOutdated()) {
        auto text = state->book.makeVersions();
        auto written = co_await state->store->write(std::string(versionsKey), text, state->versionsVersion);
        LogLine(written ? LogLevel::Info : LogLevel::Warning, "software_versions_stored")
            .add("versions", text)
            .add("error", written ? std::string() : written.error().message);
        if (written) {
            state->versionsVersion = *written;
            state->book.noteVersionsStored(std::move(text));
            if (isReplaced && !state->book.isMixed()) {
                co_await removeRecords(state);
            }
        }
    }
    state->writesVersions = false;
}

// With one version left of each target, no record is needed any more, whoever wrote it.
asio::awaitable<void> StreamOriginService::State::removeRecords(std::shared_ptr<State> state)
{
    auto records = co_await state->store->list(std::string(recordPrefix));
    for (std::size_t i = 0; records && i < records->size() && !state->stopped && !state->book.isMixed(); ++i) {
        co_await state->store->remove(records->at(i).key, records->at(i).version);
        co_await state->pause(writeIntervalPerInstance);
    }
}

asio::awaitable<void> StreamOriginService::State::writeRecords(std::shared_ptr<State> state)
{
    while (!state->stopped && state->book.isRecordOutdated()) {
        auto due = state->lastWrite + state->writeInterval();
        if (auto now = readMonotonicClock(); now < due) {
            co_await state->pause(due - now);
        }
        state->lastWrite = readMonotonicClock();
        auto changes = state->book.changes();
        bool written = co_await state->writeRecord();
        if (written) {
            state->book.noteRecordStored(changes);
            state->writeDone.cancel();
        } else {
            co_await state->pause(failedWritePause);
        }
    }
    state->writesRecords = false;
}

asio::awaitable<bool> StreamOriginService::State::writeRecord()
{
    auto value = book.makeRecord(readMonotonicClock());
    auto written = co_await store->write(key, std::move(value), recordVersion);
    if (written) {
        recordVersion = *written;
        co_return true;
    }
    LogLine(LogLevel::Warning, "stream_record_not_stored").add("key", key).add("error", written.error().message);
    // An earlier process of this instance wrote the record, or the answer to a write of this one was lost.
    auto stored = co_await store->get(key);
    if (stored) {
        recordVersion = stored->version;
        if (auto taken = book.takeRecord(stored->value, true, readMonotonicClock()); !taken) {
            LogLine(LogLevel::Error, "stream_record_unreadable").add("key", key).add("reason", taken.error().message);
        }
    } else if (stored.error().code == ErrorCode::NotFound) {
        recordVersion.reset();
    }
    co_return false;
}

asio::awaitable<void> StreamOriginService::State::readRecords(std::shared_ptr<State> state)
{
    while (state->readsDone < state->readsWanted && !state->stopped) {
        auto wanted = state->readsWanted;
        auto records = co_await state->store->list(std::string(recordPrefix));
        if (!records) {
            LogLine(LogLevel::Warning, "stream_records_unread").add("error", records.error().message);
        }
        for (std::size_t i = 0; records && i < records->size(); ++i) {
            const auto& record = records->at(i);
            auto taken = state->book.takeRecord(record.value.value_or(""), false, readMonotonicClock());
            if (!taken) {
                LogLine(LogLevel::Error, "stream_record_unreadable")
                    .add("key", record.key)
                    .add("reason", taken.error().message);
            }
        }
        state->readsDone = wanted;
        state->readDone.cancel();
    }
    state->readsRecords = false;
}

// Waits for a read of all records that begins after this call.
asio::awaitable<void> StreamOriginService::State::awaitRecords()
{
    auto wanted = ++readsWanted;
    if (!std::exchange(readsRecords, true)) {
        asio::co_spawn(io, readRecords(shared_from_this()), asio::detached);
    }
    while (readsDone < wanted && !stopped) {
        co_await readDone.async_wait(useTuple);
    }
}

asio::awaitable<StreamOrigin> StreamOriginService::State::search(
    std::shared_ptr<State> state, std::string callerId, TargetName target, Duration bound)
{
    auto end = readMonotonicClock() + bound;
    bool hasRead = false;
    while (!state->stopped) {
        if (auto known = state->book.find(callerId, target, readMonotonicClock())) {
            bool isRecord = hasRead && known->source == StreamOrigin::Source::Memory;
            co_return StreamOrigin { isRecord ? StreamOrigin::Source::Store : known->source, known->version };
        }
        if (hasRead) {
            co_await state->pause(searchInterval);
        }
        if (readMonotonicClock() >= end) {
            break;
        }
        co_await state->awaitRecords();
        hasRead = true;
    }
    co_return StreamOrigin();
}

asio::awaitable<void> StreamOriginService::State::note(
    std::shared_ptr<State> state, std::string callerId, TargetName target, SoftwareVersion version, Duration lifetime)
{
    auto now = readMonotonicClock();
    bool changed = state->book.noteGranted(callerId, target, version, lifetime, now);
    state->update();
    if (!changed || !state->book.isMixed(target)) {
        co_return;
    }
    auto changes = state->book.changes();
    asio::steady_timer end(state->io, longestRecordWait);
    end.async_wait([state](error_code ec) {
        if (!ec) {
            state->writeDone.cancel();
        }
    });
    while (!state->book.isRecordStored(changes) && !state->stopped && readMonotonicClock() < now + longestRecordWait) {
        co_await state->writeDone.async_wait(useTuple);
    }
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
    }
}

void StreamOriginService::applySnapshot(const SnapshotPtr& snapshot)
{
    Duration longest {};
    for (const auto& [name, spec] : snapshot->configuration().classes) {
        longest = std::max(longest, spec.deadline);
    }
    m_state->book.setRetention(longest + retentionMargin);
}

void StreamOriginService::applyServers(const std::vector<BackendServer>& servers)
{
    m_state->book.setServers(servers, readMonotonicClock());
    m_state->update();
}

void StreamOriginService::applyRole(bool keepsVersions, std::size_t instances)
{
    m_state->keepsVersions = keepsVersions;
    m_state->instances = std::max<std::size_t>(instances, 1);
}

asio::awaitable<void> StreamOriginService::noteGranted(
    std::string callerId, TargetName target, SoftwareVersion version, Duration lifetime)
{
    co_await asio::co_spawn(m_state->io,
        State::note(m_state, std::move(callerId), std::move(target), std::move(version), lifetime),
        asio::use_awaitable);
}

asio::awaitable<StreamOrigin> StreamOriginService::find(std::string callerId, TargetName target, Duration bound)
{
    co_return co_await asio::co_spawn(
        m_state->io, State::search(m_state, std::move(callerId), std::move(target), bound), asio::use_awaitable);
}

} // namespace lagoonspoke
