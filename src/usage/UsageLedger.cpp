#include "usage/UsageLedger.h"

#include <algorithm>
#include <utility>

#include "lagoonspoke/core/Overload.h"

namespace lagoonspoke {

namespace {

// The window before the open one may not be sealed yet. Clocks that differ make the lag longer.
constexpr WindowNumber shortestSealLag = 2;
constexpr WindowNumber longestSealLag = 64;

// A seal that is not there yet is looked for after this part of the poll interval.
constexpr int earlyPollDivisor = 4;

} // namespace

UsageLedger UsageLedger::Make(Options options)
{
    return UsageLedger(std::move(options));
}

UsageLedger::UsageLedger(Options options)
    : m_options(std::move(options))
    , m_counter(m_options.writer)
    , m_sealLag(shortestSealLag)
{
}

std::vector<UsageLedgerAction> UsageLedger::handle(const UsageLedgerEvent& event, MonotonicTime now)
{
    m_now = now;
    std::visit(Overload {
                   [&](const UsageCounted& it) { count(it); },
                   [&](const UsageWindowOpened& it) { openWindow(it.window); },
                   [&](const UsageMessageReceived& it) {
                       std::visit([&](const auto& message) { receive(it.from, message); }, it.message);
                   },
                   [&](const CopyHoldersChanged& it) { changeHolders(it.holders); },
                   [&](const InstanceDied& it) {
                       m_copies.markDead(it.instance);
                       m_factsChanged = true;
                   },
                   [&](const UsageHandOver&) { handOver(); },
                   [&](const UsageStoreRestored&) { rewriteRecords(); },
                   [&](const UsageAnswer& it) { handleAnswer(it); },
               },
        event);
    return advance(now);
}

std::vector<UsageLedgerAction> UsageLedger::advance(MonotonicTime now)
{
    m_now = now;
    collectFacts();
    answerWaiters();
    resendCopies();
    startCalls();
    return std::exchange(m_actions, {});
}

std::optional<MonotonicTime> UsageLedger::nextWakeup() const
{
    std::optional<MonotonicTime> next;
    auto consider = [&](MonotonicTime time) { next = next ? std::min(*next, time) : time; };
    for (const auto& waiter : m_waiters) {
        consider(waiter.deadline);
    }
    for (const auto& [id, holder] : m_holders) {
        if (isAwaitingCopies(holder)) {
            consider(holder.nextSend);
        }
    }
    if (!m_creating && m_publisher.nextRecord(closedBefore())) {
        consider(m_nextCreate);
    }
    if (!m_readingSeal && m_publisher.awaitedSeal()) {
        consider(m_nextSealRead);
    }
    return next;
}

bool UsageLedger::isCopied() const
{
    return m_holders.empty() || std::any_of(m_holders.begin(), m_holders.end(), [&](const auto& it) {
        return !isAwaitingCopies(it.second);
    });
}

void UsageLedger::count(const UsageCounted& counted)
{
    auto sequence = m_counter.count(counted.team, counted.figures);
    if (m_holders.empty()) {
        m_actions.emplace_back(UsageAcknowledged { counted.waiter, false });
        return;
    }
    m_waiters.push_back({ counted.waiter, sequence, m_now + m_options.copyWait });
    sendCopiesToAll();
}

void UsageLedger::receive(const InstanceId& from, const UsageCopy& copy)
{
    m_actions.emplace_back(SendUsageMessage { from, m_copies.accept(from, copy) });
    m_factsChanged = true;
    if (m_leaving && copy.leaving) {
        sendCopiesToAll();
    }
}

void UsageLedger::receive(const InstanceId& from, const UsageCopyAck& ack)
{
    auto it = m_holders.find(from);
    if (it == m_holders.end()) {
        return;
    }
    if (ack.writer != m_options.writer) {
        it->second.acknowledgedOrphans[ack.writer] = ack.sequence;
        return;
    }
    it->second.acknowledged = ack.sequence;
    auto isCopied = [&](const Waiter& waiter) { return waiter.sequence <= ack.sequence; };
    for (const auto& waiter : m_waiters) {
        if (isCopied(waiter)) {
            m_actions.emplace_back(UsageAcknowledged { waiter.id, true });
        }
    }
    std::erase_if(m_waiters, isCopied);
}

void UsageLedger::changeHolders(const std::vector<InstanceId>& holders)
{
    std::map<InstanceId, Holder> changed;
    for (const auto& id : holders) {
        auto it = m_holders.find(id);
        // A holder that was dropped in between may have lost its copies; it says so in its acknowledgement.
        changed[id] = it == m_holders.end() ? Holder {} : it->second;
    }
    m_holders = std::move(changed);
}

bool UsageLedger::isAwaitingCopies(const Holder& holder) const
{
    return (holder.acknowledged < m_counter.sequence() && !m_counter.empty()) || !missingOrphans(holder).empty();
}

std::vector<UsageCopy> UsageLedger::missingOrphans(const Holder& holder) const
{
    if (!m_leaving) {
        return {};
    }
    auto copies = m_copies.orphanCopies();
    std::erase_if(copies, [&](const UsageCopy& copy) {
        auto it = holder.acknowledgedOrphans.find(copy.writer);
        return it != holder.acknowledgedOrphans.end() && it->second >= copy.sequence;
    });
    return copies;
}

void UsageLedger::sendCopies(const InstanceId& id)
{
    auto& holder = m_holders.at(id);
    holder.nextSend = m_now + m_options.resendInterval;
    for (auto& copy : m_counter.makeCopies(holder.acknowledged)) {
        copy.leaving = m_leaving || m_storeRefuses;
        m_actions.emplace_back(SendUsageMessage { id, std::move(copy) });
    }
    for (auto& copy : missingOrphans(holder)) {
        m_actions.emplace_back(SendUsageMessage { id, std::move(copy) });
    }
}

void UsageLedger::sendCopiesToAll()
{
    for (const auto& [id, holder] : m_holders) {
        sendCopies(id);
    }
}

void UsageLedger::resendCopies()
{
    for (const auto& [id, holder] : m_holders) {
        if (isAwaitingCopies(holder) && holder.nextSend <= m_now) {
            sendCopies(id);
        }
    }
}

void UsageLedger::handOver()
{
    m_leaving = true;
    openWindow(m_counter.window() + 1);
    sendCopiesToAll();
}

void UsageLedger::rewriteRecords()
{
    m_publisher.forgetStored();
    m_nextCreate = m_now;
}

void UsageLedger::openWindow(WindowNumber window)
{
    m_factsChanged = m_factsChanged || window > m_counter.window();
    m_counter.openWindow(window);
}

void UsageLedger::collectFacts()
{
    if (!std::exchange(m_factsChanged, false)) {
        return;
    }
    for (const auto& fact : m_counter.closedFacts()) {
        m_publisher.add(m_options.writer, fact);
    }
    for (const auto& orphan : m_copies.orphans()) {
        m_publisher.add(orphan.writer, orphan.fact);
    }
}

void UsageLedger::answerWaiters()
{
    auto isOver = [&](const Waiter& waiter) { return waiter.deadline <= m_now; };
    for (const auto& waiter : m_waiters) {
        if (isOver(waiter)) {
            m_actions.emplace_back(UsageAcknowledged { waiter.id, false });
        }
    }
    std::erase_if(m_waiters, isOver);
}

void UsageLedger::startCalls()
{
    if (auto next = m_publisher.nextRecord(closedBefore()); next && !m_creating && m_nextCreate <= m_now) {
        if (next->record.writer == m_options.writer) {
            next->record.completeBelow = m_counter.completeBelow();
        }
        m_createCall = ++m_lastCall;
        m_actions.emplace_back(CreateUsageObject { m_createCall, next->objectKey(), encodeUsageRecord(next->record) });
        m_creating = std::move(next);
    }
    if (auto window = m_publisher.awaitedSeal(); window && !m_readingSeal && m_nextSealRead <= m_now) {
        // Any seal after the awaited one serves as well; that one may be deleted, or before the first seal of all.
        auto newest = m_counter.window() - m_sealLag;
        m_readingNewest = newest > *window;
        window = std::max(*window, newest);
        m_sealCall = ++m_lastCall;
        m_readingSeal = true;
        m_actions.emplace_back(ReadUsageObject { m_sealCall, sealedWindowKey(*window) });
    }
}

void UsageLedger::handleAnswer(const UsageAnswer& answer)
{
    if (m_creating && answer.call == m_createCall) {
        handleCreated(answer);
    } else if (m_readingSeal && answer.call == m_sealCall) {
        handleSeal(answer);
    }
}

void UsageLedger::handleCreated(const UsageAnswer& answer)
{
    bool awaited = m_publisher.awaitedSeal().has_value();
    switch (answer.status) {
    case UsageAnswer::Status::Done:
        if (answer.value.empty()) {
            m_publisher.handleStored(*m_creating);
        } else {
            handleExisting(answer);
        }
        m_creating.reset();
        m_createRetry = {};
        setStoreRefuses(false);
        if (!awaited) {
            m_nextSealRead = m_now + m_options.sealPollInterval;
        }
        return;
    case UsageAnswer::Status::Refused:
        m_createCall = ++m_lastCall;
        m_actions.emplace_back(ReadUsageObject { m_createCall, m_creating->objectKey() });
        return;
    case UsageAnswer::Status::Missing:
    case UsageAnswer::Status::Failed:
        // If the write took effect, the next attempt is refused and finds it.
        m_creating.reset();
        m_createRetry
            = std::clamp(2 * m_createRetry, m_options.storeRetryInterval, m_options.longestStoreRetryInterval);
        m_nextCreate = m_now + m_createRetry;
        setStoreRefuses(true);
        return;
    }
}

// The store may turn this instance away and serve its copy holders, which then write its records before the seal.
void UsageLedger::setStoreRefuses(bool refuses)
{
    if (std::exchange(m_storeRefuses, refuses) != refuses) {
        sendCopiesToAll();
    }
}

void UsageLedger::handleExisting(const UsageAnswer& answer)
{
    // A record that cannot be read says nothing about these facts, so they go elsewhere.
    auto existing = decodeUsageRecord(answer.value).value_or(UsageWindowRecord {});
    m_publisher.handleOccupied(*m_creating, existing);
}

void UsageLedger::handleSeal(const UsageAnswer& answer)
{
    m_readingSeal = false;
    m_nextSealRead = m_now + m_options.sealPollInterval;
    if (answer.status != UsageAnswer::Status::Done) {
        if (m_readingNewest) {
            m_sealLag = std::min(2 * m_sealLag, longestSealLag);
            m_nextSealRead = m_now + m_options.sealPollInterval / earlyPollDivisor;
        }
        return;
    }
    m_sealLag = std::max(m_sealLag - 1, shortestSealLag);
    auto sealed = decodeSealedWindow(answer.value);
    if (!sealed) {
        return;
    }
    m_publisher.handleSeal(*sealed);
    m_counter.dropIncluded(*sealed);
    m_copies.dropIncluded(*sealed);
    sendCopiesToAll();
}

} // namespace lagoonspoke
