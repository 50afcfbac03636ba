#include "daemon/LeaseService.h"

#include <algorithm>

#include "external/LeaseCodec.h"
#include "lagoonspoke/core/Overload.h"
#include "lagoonspoke/core/StoreRevision.h"
#include "lease/LeaseCandidacy.h"
#include "observe/LogLine.h"

namespace lagoonspoke {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(250);
// Keeps the candidates of one lease from racing for it; a candidate further down acts only if the others do not.
constexpr Duration preferenceStep = std::chrono::seconds(2);

} // namespace

LeaseService::LeaseService(
    asio::io_context& io, ObjectStorePtr store, InstanceId instance, std::string process, LeaseMachine::Options options)
    : m_io(io)
    , m_store(std::move(store))
    , m_instance(std::move(instance))
    , m_process(std::move(process))
    , m_options(std::move(options))
{
    addLease(usageLease(), {});
}

LeaseService::~LeaseService() = default;

void LeaseService::addLease(const std::string& lease, std::optional<DataCentreId> preferred)
{
    if (m_leases.contains(lease)) {
        return;
    }
    auto options = m_options;
    options.self = m_process;
    m_leases.emplace(lease, Held { LeaseMachine::Make(options), std::move(preferred) });
}

void LeaseService::start()
{
    asio::co_spawn(m_io, tick(), asio::detached);
}

asio::awaitable<void> LeaseService::tick()
{
    asio::steady_timer timer(m_io);
    while (!m_stopped) {
        timer.expires_after(tickInterval);
        co_await timer.async_wait(useTuple);
        for (auto& [lease, held] : m_leases) {
            auto now = readMonotonicClock();
            if (auto wakeup = held.machine.nextWakeup(); wakeup && *wakeup <= now) {
                execute(lease, held.machine.advance(now));
            }
        }
    }
}

void LeaseService::applyMembers(const std::vector<Member>& members)
{
    if (m_stopped) {
        return;
    }
    std::vector<LeaseCandidate> live;
    for (const auto& member : members) {
        addLease(fleetLease(member.dataCentre), member.dataCentre);
        if (member.state == MemberState::Alive) {
            live.push_back({ member.id, member.dataCentre });
        }
    }
    for (auto& [lease, held] : m_leases) {
        auto rank = rankCandidate(lease, held.preferred, m_instance, live);
        CandidacyChanged event;
        event.candidate = rank && *rank < candidatesPerLease;
        event.preferenceDelay = preferenceStep * static_cast<int>(rank.value_or(0));
        handle(lease, event);
    }
}

std::optional<FencingToken> LeaseService::mayAct(const std::string& lease) const
{
    auto it = m_leases.find(lease);
    return it == m_leases.end() ? std::nullopt : it->second.machine.mayAct(readMonotonicClock());
}

bool LeaseService::isHolder(const std::string& lease) const
{
    auto it = m_leases.find(lease);
    return it != m_leases.end() && it->second.machine.isHolder();
}

void LeaseService::handle(const std::string& lease, const LeaseEvent& event)
{
    execute(lease, m_leases.at(lease).machine.handle(event, readMonotonicClock()));
}

void LeaseService::execute(const std::string& lease, std::vector<LeaseAction> actions)
{
    for (auto& action : actions) {
        std::visit(Overload {
                       [&](const ReadLease& it) { asio::co_spawn(m_io, read(lease, it), asio::detached); },
                       [&](WriteLease& it) { asio::co_spawn(m_io, write(lease, std::move(it)), asio::detached); },
                       [&](const LeaseAcquired& it) {
                           LogLine(LogLevel::Info, "lease_gained")
                               .add("lease", lease)
                               .add("epoch", static_cast<std::uint64_t>(it.token));
                           if (m_changed) {
                               m_changed(lease, it.token);
                           }
                       },
                       [&](const LeaseLost& it) {
                           LogLine(LogLevel::Info, "lease_lost")
                               .add("lease", lease)
                               .add("epoch", static_cast<std::uint64_t>(it.token));
                           if (m_changed) {
                               m_changed(lease, std::nullopt);
                           }
                       },
                   },
            action);
    }
}

asio::awaitable<void> LeaseService::read(std::string lease, ReadLease call)
{
    auto object = co_await m_store->get("lease/" + lease);
    if (!object) {
        if (object.error().code == ErrorCode::NotFound) {
            handle(lease, LeaseRead { call.call, {}, m_store->restorations() });
        } else {
            handle(lease, LeaseReadFailed { call.call });
        }
        co_return;
    }
    auto record = decodeLease(object->value);
    if (!record) {
        LogLine(LogLevel::Error, "lease_unreadable").add("lease", lease).add("error", record.error().message);
        handle(lease, LeaseReadFailed { call.call });
        co_return;
    }
    handle(lease,
        LeaseRead { call.call, StoredLease { std::move(*record), object->version }, restorationsOf(object->version) });
}

asio::awaitable<void> LeaseService::write(std::string lease, WriteLease call)
{
    auto version = co_await m_store->write("lease/" + lease, encodeLease(call.record), call.version);
    if (version) {
        handle(lease, LeaseWritten { call.call, *version });
    } else if (version.error().code == ErrorCode::Conflict) {
        handle(lease, LeaseWriteConflict { call.call });
    } else {
        handle(lease, LeaseWriteUnknown { call.call });
    }
}

asio::awaitable<void> LeaseService::release(Duration bound)
{
    m_stopped = true;
    for (auto& [lease, held] : m_leases) {
        handle(lease, LeaseReleaseRequested {});
    }
    auto end = readMonotonicClock() + bound;
    auto isOpen = [](const auto& it) { return it.second.machine.nextWakeup().has_value(); };
    asio::steady_timer timer(m_io);
    while (readMonotonicClock() < end && std::any_of(m_leases.begin(), m_leases.end(), isOpen)) {
        timer.expires_after(std::chrono::milliseconds(10));
        co_await timer.async_wait(useTuple);
    }
}

} // namespace lagoonspoke
