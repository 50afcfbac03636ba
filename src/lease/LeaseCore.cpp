#include "lease/LeaseCore.h"

#include <algorithm>
#include <utility>

#include "lagoonspoke/core/StoreRevision.h"

namespace lagoonspoke {

namespace {

constexpr int epochCounterBits = 32;

} // namespace

LeaseCore::LeaseCore(LeaseMachine::Options options)
    : m_options(std::move(options))
{
}

Duration LeaseCore::fullDelay() const
{
    return m_options.term + m_options.maxOrderLifetime + candidacy.preferenceDelay;
}

bool LeaseCore::mayBeOutdated(const LeaseRecord& record) const
{
    return record.epoch >> epochCounterBits < m_restorations.value_or(0);
}

Duration LeaseCore::takeoverDelay() const
{
    if (!m_observedLease) {
        // The copy may be older than the lease.
        return m_sawRestoration ? fullDelay() : candidacy.preferenceDelay;
    }
    const auto& record = m_observedLease->record;
    if (record.released && !mayBeOutdated(record)) {
        return m_options.maxOrderLifetime + m_options.clockDriftAllowance + candidacy.preferenceDelay;
    }
    // Before that time no other process can have acquired the lease after this one held it.
    bool wasLastHolder = now < m_termEnd + m_options.maxOrderLifetime;
    if (record.holder == m_options.self && (wasLastHolder || !mayBeOutdated(record))) {
        // This process acquired the lease and lost track of it, as after a suspension or an unknown outcome of a write.
        // No other process sends orders under this epoch, so there is nothing to wait for.
        return {};
    }
    return fullDelay();
}

bool LeaseCore::isTakeoverDue() const
{
    return m_observed && candidacy.candidate && now >= m_observedSince + takeoverDelay();
}

bool LeaseCore::isReadDue() const
{
    return now >= m_nextRead && !isTakeoverDue();
}

bool LeaseCore::isRenewalDue() const
{
    return !isTermExpired() && now >= m_writeSentAt + m_options.renewInterval;
}

bool LeaseCore::isStoredHolder() const
{
    return lastRead.found && lastRead.found->record.holder == m_options.self && lastRead.found->record.epoch == m_epoch
        && !lastRead.found->record.released;
}

void LeaseCore::read()
{
    m_nextRead = now + m_options.readInterval;
    m_actions.emplace_back(ReadLease { ++m_lastCall });
}

void LeaseCore::observe()
{
    bool changed = !m_observed || m_observedLease.has_value() != lastRead.found.has_value()
        || (m_observedLease && m_observedLease->version != lastRead.found->version);
    if (changed) {
        m_observedSince = now;
    }
    m_observed = true;
    m_observedLease = lastRead.found;
    m_sawRestoration = m_sawRestoration || lastRead.restorations > m_restorations.value_or(lastRead.restorations);
    m_restorations = lastRead.restorations;
}

void LeaseCore::scheduleRetry()
{
    m_nextRead = now + m_options.retryInterval;
}

void LeaseCore::restartObservation()
{
    m_observed = false;
    m_observedLease.reset();
    read();
}

void LeaseCore::write(LeaseRecord record, std::optional<std::uint64_t> version)
{
    m_writeSentAt = now;
    m_actions.emplace_back(WriteLease { ++m_lastCall, std::move(record), version });
}

void LeaseCore::acquire()
{
    // The restored record may be older than this process's own last epoch.
    m_epoch = std::max(m_epoch, m_observedLease ? m_observedLease->record.epoch : 0) + 1;
    m_epoch = std::max(m_epoch, m_restorations.value_or(0) << epochCounterBits);
    m_renewal = 0;
    auto version = m_observedLease ? std::optional(m_observedLease->version) : std::nullopt;
    write({ m_options.self, m_epoch, m_renewal, false }, version);
}

void LeaseCore::becomeHolder()
{
    m_holder = true;
    m_version = writtenVersion;
    m_termEnd = m_writeSentAt + m_options.term;
    m_firstUnconfirmed.reset();
    m_actions.emplace_back(LeaseAcquired { token() });
}

void LeaseCore::renew()
{
    if (!m_firstUnconfirmed) {
        m_firstUnconfirmed = now;
    }
    write({ m_options.self, m_epoch, m_renewal + 1, false }, m_version);
}

void LeaseCore::confirmRenewal()
{
    ++m_renewal;
    m_version = writtenVersion;
    m_termEnd = m_writeSentAt + m_options.term;
    m_firstUnconfirmed.reset();
}

void LeaseCore::adoptStoredRenewal()
{
    if (lastRead.found->record.renewal > m_renewal) {
        m_renewal = lastRead.found->record.renewal;
        m_termEnd = m_firstUnconfirmed.value_or(m_termEnd - m_options.term) + m_options.term;
        m_firstUnconfirmed.reset();
    }
    m_version = lastRead.found->version;
}

void LeaseCore::drop()
{
    if (m_holder) {
        m_holder = false;
        m_actions.emplace_back(LeaseLost { token() });
    }
    m_firstUnconfirmed.reset();
}

void LeaseCore::lose()
{
    drop();
    restartObservation();
}

void LeaseCore::loseAndObserve()
{
    drop();
    m_observed = false;
    observe();
}

void LeaseCore::abandon()
{
    drop();
}

void LeaseCore::loseAndRelease()
{
    drop();
    write({ m_options.self, m_epoch, m_renewal + 1, true }, m_version);
}

void LeaseCore::confirmAndRelease()
{
    confirmRenewal();
    loseAndRelease();
}

bool LeaseCore::isAcquisitionOutdated(std::uint64_t version) const
{
    return !m_holder && restorationsOf(version) != m_restorations.value_or(0);
}

std::optional<FencingToken> LeaseCore::mayAct(MonotonicTime at) const
{
    if (!m_holder || m_termEnd - at <= m_options.maxOrderLifetime) {
        return std::nullopt;
    }
    if (m_lastInputAt && at - *m_lastInputAt > m_options.suspensionThreshold) {
        return std::nullopt;
    }
    return token();
}

bool LeaseCore::detectSuspension()
{
    bool suspended = m_lastInputAt && now - *m_lastInputAt > m_options.suspensionThreshold;
    m_lastInputAt = now;
    return suspended;
}

std::optional<MonotonicTime> LeaseCore::nextWakeup() const
{
    if (m_stopped || !m_lastInputAt) {
        return std::nullopt;
    }
    return *m_lastInputAt + m_options.suspensionThreshold / 4;
}

std::vector<LeaseAction> LeaseCore::takeActions()
{
    return std::exchange(m_actions, {});
}

} // namespace lagoonspoke
