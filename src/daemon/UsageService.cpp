#include "daemon/UsageService.h"

#include <algorithm>
#include <set>

#include "daemon/LeaseService.h"
#include "lagoonspoke/core/Overload.h"
#include "lease/LeaseCandidacy.h"
#include "observe/LogLine.h"
#include "usage/CopyHolders.h"
#include "wire/UsageCodec.h"

namespace lagoonspoke {

namespace {

// Bounds how late a new window is noticed.
constexpr Duration clockInterval = std::chrono::milliseconds(250);
constexpr Duration handOverPollInterval = std::chrono::milliseconds(20);

// A seal is made once the grace time has passed; it is looked for this much later.
constexpr Duration sealPollDelay = std::chrono::milliseconds(500);
// Each read of a seal is billed, and one tells of all windows before it. Late usage waits that much longer.
constexpr int windowsOfSealPoll = 4;
constexpr Duration longestSealPoll = std::chrono::seconds(20);
// A process gives up to write seals again after a minute; others have them too.
constexpr Duration sealRestoreInterval = std::chrono::milliseconds(500);
constexpr int mostSealRestores = 120;

UsageLedger makeLedger(const UsageService::Options& service)
{
    UsageLedger::Options options;
    options.writer = service.writer;
    auto windows = std::min(windowsOfSealPoll * service.window, longestSealPoll);
    options.sealPollInterval = std::max(std::min(service.sealGrace, service.window), windows) + sealPollDelay;
    return UsageLedger::Make(options);
}

UsageSealer makeSealer(const UsageService::Options& service, const UsageReporterPtr& reporter)
{
    UsageSealer::Options options;
    // Short windows are used in demonstrations, which should not wait longer for a seal than for a window.
    options.grace = std::min(service.sealGrace, service.window);
    options.window = service.window;
    options.latest = service.sealLatest;
    options.due = service.reportDue;
    options.reportsWholeWindows = reporter && reporter->takesWholeWindows();
    options.exclusiveTime = service.leaseExclusiveTime;
    return UsageSealer::Make(options);
}

UsageAnswer::Status statusOf(const Error& error)
{
    switch (error.code) {
    case ErrorCode::NotFound:
        return UsageAnswer::Status::Missing;
    case ErrorCode::Conflict:
        return UsageAnswer::Status::Refused;
    default:
        return UsageAnswer::Status::Failed;
    }
}

template <typename T> UsageAnswer makeAnswer(std::uint64_t call, const Outcome<T>& outcome)
{
    return { call, outcome ? UsageAnswer::Status::Done : statusOf(outcome.error()), {}, {} };
}

bool writesOutside(const ListUsageKeys&)
{
    return false;
}
bool writesOutside(const ReadUsageObject&)
{
    return false;
}
template <typename Call> bool writesOutside(const Call&)
{
    return true;
}

} // namespace

UsageService::UsageService(asio::io_context& io, Options options, ObjectStorePtr store, UsageReporterPtr reporter,
    SendToPeer send, MayAct mayAct)
    : m_io(io)
    , m_options(std::move(options))
    , m_store(std::move(store))
    , m_reporter(std::move(reporter))
    , m_send(std::move(send))
    , m_mayAct(std::move(mayAct))
    , m_ledger(makeLedger(m_options))
    , m_sealer(makeSealer(m_options, m_reporter))
    , m_timer(io)
    , m_clock({})
{
    readClock();
}

UsageService::~UsageService() = default;

void UsageService::start()
{
    asio::co_spawn(m_io, run(), asio::detached);
}

asio::awaitable<void> UsageService::run()
{
    for (;;) {
        noteRestorations();
        readClock();
        execute(m_ledger.advance(readMonotonicClock()));
        auto wait = clockInterval;
        if (auto wakeup = m_ledger.nextWakeup()) {
            wait = std::clamp<Duration>(*wakeup - readMonotonicClock(), Duration(0), wait);
        }
        m_timer.expires_after(wait);
        co_await m_timer.async_wait(useTuple);
    }
}

void UsageService::readClock()
{
    auto now = m_clock.read(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()),
        readMonotonicClock());
    auto window = static_cast<WindowNumber>(now / m_options.window);
    execute(m_ledger.handle(UsageWindowOpened { window }, readMonotonicClock()));
    execute(m_sealer.handle(UsageClockRead { window, now % m_options.window }, readMonotonicClock()));
}

void UsageService::wakeEarlier()
{
    auto wakeup = m_ledger.nextWakeup();
    if (wakeup && *wakeup - readMonotonicClock() < m_timer.expiry() - std::chrono::steady_clock::now()) {
        m_timer.cancel();
    }
}

asio::awaitable<void> UsageService::record(UsageRecord record)
{
    co_await asio::co_spawn(m_io, recordHere(std::move(record)), asio::use_awaitable);
}

asio::awaitable<void> UsageService::recordHere(UsageRecord record)
{
    auto id = ++m_lastWaiter;
    auto waiting = std::make_shared<Waiting>(m_io);
    m_waiting.emplace(id, waiting);
    UsageFigures figures { 1, record.promptTokens.count, record.outputTokens.count };
    drive(UsageCounted { record.team, figures, id });
    if (!waiting->done) {
        waiting->timer.expires_at(asio::steady_timer::time_point::max());
        co_await waiting->timer.async_wait(useTuple);
    }
}

void UsageService::receive(const InstanceId& from, std::string_view payload)
{
    auto message = decodeUsageMessage(payload);
    if (!message) {
        LogLine(LogLevel::Warning, "usage_message_malformed").add("from", from.value());
        return;
    }
    if (const auto* seal = std::get_if<UsageSealCopy>(&*message)) {
        keepSeal(seal->window, seal->value);
        return;
    }
    drive(UsageMessageReceived { from, std::move(*message) });
}

void UsageService::noteRestorations()
{
    auto restorations = m_store->restorations();
    if (restorations == m_restorations) {
        return;
    }
    LogLine(LogLevel::Info, "usage_restored").add("restorations", restorations).add("before", m_restorations);
    m_restorations = restorations;
    drive(UsageStoreRestored { restorations });
    execute(m_sealer.handle(UsageStoreRestored { restorations }, readMonotonicClock()));
    asio::co_spawn(m_io, restoreSeals(), asio::detached);
}

void UsageService::keepSeal(WindowNumber window, const std::string& value)
{
    auto sealed = decodeSealedWindow(value);
    if (!sealed || sealed->window != window) {
        LogLine(LogLevel::Warning, "usage_seal_unreadable")
            .add("window", window)
            .add("error", sealed ? "of another window" : sealed.error().message);
        return;
    }
    m_seals.add(window, value);
    execute(m_sealer.handle(UsageSealKept { window }, readMonotonicClock()));
    if (sealed->restorations < m_restorations) {
        asio::co_spawn(m_io, restoreSeals(), asio::detached);
    }
}

asio::awaitable<void> UsageService::restoreSeals()
{
    if (m_seals.empty() || std::exchange(m_restoringSeals, true)) {
        co_return;
    }
    asio::steady_timer timer(m_io);
    for (int i = 0; i < mostSealRestores; ++i) {
        auto entries = co_await m_store->list("usage/");
        bool complete = entries.has_value();
        std::set<WindowNumber> stored;
        for (const auto& entry : entries.value_or(std::vector<ObjectEntry>())) {
            if (auto key = parseUsageKey(entry.key); key && key->name == "sealed") {
                stored.insert(key->window);
            }
        }
        for (const auto& [window, value] : complete ? m_seals.missing(stored) : std::map<WindowNumber, std::string>()) {
            auto version = co_await m_store->create(sealedWindowKey(window), value);
            complete = complete && (version || version.error().code == ErrorCode::Conflict);
            LogLine(LogLevel::Info, "usage_seal_restored")
                .add("window", window)
                .add("outcome", version ? "stored" : version.error().message);
        }
        if (complete) {
            break;
        }
        timer.expires_after(sealRestoreInterval);
        co_await timer.async_wait(useTuple);
    }
    m_restoringSeals = false;
}

void UsageService::noteMember(const Member& member)
{
    auto known = m_incarnations.find(member.id);
    bool dead = member.state == MemberState::Dead;
    // A higher incarnation may be a new process. If it is the same one, the copies it sends next say so.
    if (known != m_incarnations.end() && (dead || known->second != member.incarnation)) {
        LogLine(LogLevel::Info, "usage_taken_over")
            .add("instance", member.id.value())
            .add("incarnation_before", known->second)
            .add("incarnation", member.incarnation)
            .add("dead", dead);
        drive(InstanceDied { member.id });
    }
    if (dead) {
        m_incarnations.erase(member.id);
    } else {
        m_incarnations[member.id] = member.incarnation;
    }
}

void UsageService::applyMembers(const std::vector<Member>& members)
{
    std::vector<CopyHolderCandidate> live;
    std::set<InstanceId> present;
    for (const auto& member : members) {
        if (member.id == m_options.instance) {
            continue;
        }
        present.insert(member.id);
        noteMember(member);
        if (member.state == MemberState::Alive) {
            live.push_back({ member.id, member.dataCentre, member.region });
        }
    }
    auto known = m_incarnations;
    for (const auto& [id, incarnation] : known) {
        if (!present.contains(id)) {
            m_incarnations.erase(id);
            drive(InstanceDied { id });
        }
    }
    std::set<InstanceId> writers { m_options.instance };
    for (const auto& [id, incarnation] : m_incarnations) {
        writers.insert(id);
    }
    execute(m_sealer.handle(UsageWritersKnown { std::move(writers) }, readMonotonicClock()));
    std::vector<LeaseCandidate> candidates { { m_options.instance, m_options.dataCentre } };
    for (const auto& it : live) {
        candidates.push_back({ it.instance, it.dataCentre });
    }
    m_otherSealers
        = listCandidates(LeaseService::usageLease(), {}, std::move(candidates), LeaseService::candidatesPerLease);
    std::erase(m_otherSealers, m_options.instance);
    CopyHolderCandidate self { m_options.instance, m_options.dataCentre, m_options.region };
    drive(CopyHoldersChanged { chooseCopyHolders(self, live) });
}

void UsageService::applyLease(std::optional<FencingToken> token)
{
    execute(m_sealer.handle(UsageLeaseChanged { token }, readMonotonicClock()));
}

asio::awaitable<void> UsageService::handOver(Duration bound)
{
    drive(UsageHandOver {});
    auto end = readMonotonicClock() + bound;
    asio::steady_timer timer(m_io);
    while (readMonotonicClock() < end && !(m_ledger.isFlushed() && m_ledger.isCopied())) {
        timer.expires_after(handOverPollInterval);
        co_await timer.async_wait(useTuple);
    }
    LogLine(LogLevel::Info, "usage_handed_over").add("stored", m_ledger.isFlushed()).add("copied", m_ledger.isCopied());
}

void UsageService::drive(const UsageLedgerEvent& event)
{
    execute(m_ledger.handle(event, readMonotonicClock()));
    wakeEarlier();
}

template <typename Call> void UsageService::startForLedger(Call call)
{
    asio::co_spawn(
        m_io,
        [this, call = std::move(call)]() -> asio::awaitable<void> {
            auto answer = co_await carryOut(call);
            noteRestorations();
            drive(std::move(answer));
        },
        asio::detached);
}

template <typename Call> void UsageService::startForSealer(Call call)
{
    asio::co_spawn(
        m_io,
        [this, call = std::move(call)]() -> asio::awaitable<void> {
            UsageAnswer answer { call.call, UsageAnswer::Status::Failed, {}, {} };
            if (!writesOutside(call) || m_mayAct()) {
                answer = co_await carryOut(call);
            }
            noteRestorations();
            execute(m_sealer.handle(answer, readMonotonicClock()));
        },
        asio::detached);
}

void UsageService::execute(std::vector<UsageLedgerAction> actions)
{
    for (auto& action : actions) {
        std::visit(Overload {
                       [&](SendUsageMessage& it) { m_send(it.to, encodeUsageMessage(it.message)); },
                       [&](const UsageAcknowledged& it) {
                           if (auto node = m_waiting.extract(it.waiter)) {
                               node.mapped()->done = true;
                               node.mapped()->timer.cancel();
                           }
                       },
                       [&](ReadUsageObject& it) { startForLedger(std::move(it)); },
                       [&](CreateUsageObject& it) { startForLedger(std::move(it)); },
                   },
            action);
    }
}

void UsageService::execute(std::vector<UsageSealerAction> actions)
{
    for (auto& action : actions) {
        std::visit([&](auto& it) { startForSealer(std::move(it)); }, action);
    }
}

asio::awaitable<UsageAnswer> UsageService::carryOut(ListUsageKeys call)
{
    auto entries = co_await m_store->list(call.prefix);
    auto answer = makeAnswer(call.call, entries);
    if (entries) {
        for (auto& entry : *entries) {
            answer.entries.push_back({ std::move(entry.key), entry.version, std::move(entry.value) });
        }
    }
    co_return answer;
}

asio::awaitable<UsageAnswer> UsageService::carryOut(ReadUsageObject call)
{
    auto object = co_await m_store->get(call.key);
    auto answer = makeAnswer(call.call, object);
    if (object) {
        answer.value = std::move(object->value);
        if (auto key = parseUsageKey(call.key); key && key->name == "sealed") {
            keepSeal(key->window, answer.value);
        }
    }
    co_return answer;
}

asio::awaitable<UsageAnswer> UsageService::carryOut(CreateUsageObject call)
{
    auto key = call.key;
    auto value = call.value;
    auto version = co_await m_store->create(std::move(call.key), std::move(call.value));
    auto answer = makeAnswer(call.call, version);
    if (auto parsed = parseUsageKey(key); version && parsed && parsed->name == "sealed") {
        keepSeal(parsed->window, value);
        for (const auto& peer : m_otherSealers) {
            m_send(peer, encodeUsageMessage(UsageSealCopy { parsed->window, value }));
        }
    }
    LogLine(LogLevel::Info, key.ends_with("/sealed") ? "usage_sealed" : "usage_recorded")
        .add("key", key)
        .add("outcome", version ? "stored" : version.error().message);
    co_return answer;
}

asio::awaitable<UsageAnswer> UsageService::carryOut(RemoveUsageObject call)
{
    co_return makeAnswer(call.call, co_await m_store->remove(std::move(call.key), call.version));
}

asio::awaitable<UsageAnswer> UsageService::carryOut(SendUsageReport call)
{
    if (!m_reporter) {
        co_return UsageAnswer { call.call, UsageAnswer::Status::Done, {}, {} };
    }
    auto outcome = co_await m_reporter->report(call.report);
    std::int64_t requests = 0;
    for (const auto& [team, figures] : call.report.teams) {
        requests += figures.requests;
    }
    LogLine(outcome ? LogLevel::Info : LogLevel::Warning, outcome ? "usage_reported" : "usage_report_failed")
        .add("report", call.report.id)
        .add("token", static_cast<std::uint64_t>(call.report.token))
        .add("teams", call.report.teams.size())
        .add("requests", requests)
        .add("error", outcome ? "" : outcome.error().message);
    co_return makeAnswer(call.call, outcome);
}

} // namespace lagoonspoke
