#include "usage/UsageSealer.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "core/ProcessName.h"
#include "lagoonspoke/core/Overload.h"
#include "lagoonspoke/core/Text.h"
#include "usage/UsageSeal.h"

namespace lagoonspoke {

namespace {

constexpr std::string_view startKey = "usage/start";

} // namespace

UsageSealer UsageSealer::Make(Options options)
{
    return UsageSealer(options);
}

UsageSealer::UsageSealer(Options options)
    : m_options(options)
{
}

std::vector<UsageSealerAction> UsageSealer::handle(const UsageSealerEvent& event, MonotonicTime now)
{
    m_now = now;
    std::visit(Overload {
                   [&](const UsageLeaseChanged& it) { changeLease(it.token); },
                   [&](const UsageClockRead& it) { m_clock = it; },
                   [&](const UsageWritersKnown& it) { setWriters(it.instances); },
                   [&](const UsageStoreRestored& it) { noteRestored(it); },
                   [&](const UsageSealKept& it) { m_newestKept = std::max(m_newestKept, it.window); },
                   [&](const UsageAnswer& it) { handleAnswer(it); },
               },
        event);
    return advance(now);
}

std::vector<UsageSealerAction> UsageSealer::advance(MonotonicTime now)
{
    m_now = now;
    startNext();
    return std::exchange(m_actions, {});
}

std::optional<MonotonicTime> UsageSealer::nextWakeup() const
{
    return m_token && isIdle() ? std::optional(m_now + m_options.retryInterval) : std::nullopt;
}

template <typename Call> void UsageSealer::call(Step step, Call call)
{
    m_step = step;
    call.call = ++m_lastCall;
    m_actions.emplace_back(std::move(call));
}

void UsageSealer::changeLease(const std::optional<FencingToken>& token)
{
    if (!token) {
        m_lostAt = m_now;
    } else if (m_clock && !(m_lostAt && m_now < *m_lostAt + m_options.exclusiveTime)) {
        m_reportedUntil = m_clock->window - (m_clock->elapsed >= m_options.earliestLook ? 1 : 2);
    }
    m_token = token;
    m_waitedForSeals = false;
    m_scanNotBefore = m_now;
    restartScan();
    m_retryAt = m_now;
    m_reportRetryAt = m_now;
    m_sealNotBefore = m_now + m_options.grace;
}

void UsageSealer::restartScan()
{
    // Answers to earlier calls no longer count.
    ++m_lastCall;
    m_step = Step::Idle;
    m_scanned = false;
    m_reporting.reset();
    m_unreported.clear();
}

void UsageSealer::noteRestored(const UsageStoreRestored& event)
{
    m_restorations = event.restorations;
    m_waitedForSeals = true;
    m_scanNotBefore = m_now + m_options.restoreGrace;
    restartScan();
}

void UsageSealer::acceptChain()
{
    bool isOlder = m_last.restorations < m_restorations;
    if (isOlder && !std::exchange(m_waitedForSeals, true)) {
        m_scanNotBefore = m_now + m_options.restoreGrace;
        restartScan();
        return;
    }
    if (m_last.window < m_newestKept) {
        restartScan();
        m_retryAt = m_now + m_options.retryInterval;
        return;
    }
    if (isOlder) {
        m_last.withheldUntil = m_reportedUntil;
    }
    m_scanned = true;
    m_step = Step::Ready;
}

bool UsageSealer::isSealDue() const
{
    auto next = m_last.window + 1;
    bool ended = m_clock->window > next + 1 || (m_clock->window == next + 1 && m_clock->elapsed >= m_options.grace);
    auto sinceEnd = m_clock->elapsed + (m_clock->window - next - 1) * m_options.window;
    return ended && (isUrgent(sinceEnd) || m_now >= m_sealNotBefore);
}

bool UsageSealer::isUrgent(Duration sinceEnd) const
{
    if (m_options.window == Duration(0)) {
        return false;
    }
    bool isLate = sinceEnd >= m_options.due;
    // After an outage or a change of the holder, the instances repeat the writes of their records within a second.
    auto latest = m_now < m_sealNotBefore ? m_options.due - m_options.reportTime : m_options.latest;
    return (isLate ? sinceEnd - m_options.window : sinceEnd) >= latest;
}

bool UsageSealer::isLookDue() const
{
    auto next = m_last.window + 1;
    bool ended
        = m_clock->window > next + 1 || (m_clock->window == next + 1 && m_clock->elapsed >= m_options.earliestLook);
    return ended && m_now >= m_lookNotBefore && !m_instances.empty();
}

void UsageSealer::setWriters(const std::set<InstanceId>& instances)
{
    if (!std::ranges::includes(instances, m_instances)) {
        m_lookNotBefore = std::max(m_lookNotBefore, m_now + m_options.earliestLook);
    }
    m_instances = instances;
}

bool UsageSealer::areRecordsComplete() const
{
    std::set<InstanceId> recorded;
    auto ofWindow = [&](const UsageFact& it) { return it.window == m_last.window + 1; };
    for (const auto& record : m_records) {
        if (std::ranges::any_of(record.facts, ofWindow)) {
            recorded.insert(instanceOfProcess(record.writer));
        }
    }
    return std::ranges::includes(recorded, m_instances);
}

bool UsageSealer::isRemovalDue() const
{
    return m_oldest + m_options.retention < m_last.window && !m_unreported.contains(m_oldest);
}

void UsageSealer::startNext()
{
    if (!m_token || !m_clock || !isIdle()) {
        return;
    }
    if (m_now < m_retryAt || (!m_scanned && m_now < m_scanNotBefore)) {
        return;
    }
    if (!m_scanned) {
        call(Step::Scanning, ListUsageKeys { 0, "usage/" });
    } else if (isSealDue()) {
        startSealing(false);
    } else if (isLookDue()) {
        startSealing(true);
    } else if (!m_unreported.empty() && m_now >= m_reportRetryAt) {
        startReporting();
    } else if (isRemovalDue()) {
        startRemoving();
    }
}

void UsageSealer::fail()
{
    m_step = Step::Ready;
    m_retryAt = m_now + m_options.retryInterval;
    // The instances could not write their records either.
    m_sealNotBefore = m_now + m_options.grace;
}

void UsageSealer::handleAnswer(const UsageAnswer& answer)
{
    if (answer.call != m_lastCall || isIdle()) {
        return;
    }
    if (m_step == Step::Reporting) {
        finishReport(answer);
        return;
    }
    if (answer.status == UsageAnswer::Status::Failed) {
        fail();
        return;
    }
    switch (m_step) {
    case Step::Scanning:
        return finishScan(answer);
    case Step::CreatingStart:
    case Step::ReadingStart:
        return finishStart(answer);
    case Step::ReadingLastSeal:
        return finishLastSeal(answer);
    case Step::ListingRecords:
        return finishListing(answer);
    case Step::ReadingRecords:
        return finishRecord(answer);
    case Step::CreatingSeal:
        return finishSeal(answer);
    case Step::ReadingOtherSeal:
        return finishOtherSeal(answer);
    case Step::ReadingReported:
        return finishReportedSeal(answer);
    case Step::MarkingReported:
        return finishMark(answer);
    case Step::ListingOld:
        return finishOldListing(answer);
    case Step::RemovingOld:
        return removeNextOld();
    case Step::Idle:
    case Step::Ready:
    case Step::Reporting:
        return;
    }
}

void UsageSealer::finishScan(const UsageAnswer& answer)
{
    std::set<WindowNumber> reported;
    std::optional<WindowNumber> last;
    m_unreported.clear();
    m_oldest = m_clock->window;
    for (const auto& entry : answer.entries) {
        auto key = parseUsageKey(entry.key);
        if (!key) {
            continue;
        }
        m_oldest = std::min(m_oldest, key->window);
        if (key->name == "sealed") {
            m_unreported.insert(key->window);
            last = std::max(last.value_or(key->window), key->window);
        } else if (key->name == "reported") {
            reported.insert(key->window);
        }
    }
    for (auto window : reported) {
        m_unreported.erase(window);
    }
    if (last) {
        call(Step::ReadingLastSeal, ReadUsageObject { 0, sealedWindowKey(*last) });
    } else {
        call(Step::CreatingStart, CreateUsageObject { 0, std::string(startKey), fmt::format("{}", m_oldest) });
    }
}

void UsageSealer::finishStart(const UsageAnswer& answer)
{
    if (m_step == Step::CreatingStart) {
        call(Step::ReadingStart, ReadUsageObject { 0, std::string(startKey) });
        return;
    }
    auto start = parseNumber<WindowNumber>(answer.value);
    if (answer.status != UsageAnswer::Status::Done || !start) {
        fail();
        return;
    }
    // The chain begins with an empty seal of the window before, which is not stored.
    m_last = {};
    m_last.window = *start - 1;
    m_oldest = *start;
    acceptChain();
}

void UsageSealer::finishLastSeal(const UsageAnswer& answer)
{
    auto sealed = decodeSealedWindow(answer.value);
    if (answer.status != UsageAnswer::Status::Done || !sealed) {
        fail();
        return;
    }
    m_last = std::move(*sealed);
    acceptChain();
}

void UsageSealer::startSealing(bool whenComplete)
{
    m_sealsWhenComplete = whenComplete;
    m_records.clear();
    m_entries.clear();
    call(Step::ListingRecords, ListUsageKeys { 0, fmt::format("usage/{}/", m_last.window + 1) });
}

void UsageSealer::finishListing(const UsageAnswer& answer)
{
    for (const auto& entry : answer.entries) {
        auto key = parseUsageKey(entry.key);
        if (key && key->name != "sealed" && key->name != "reported") {
            m_entries.push_back(entry);
        }
    }
    readNextRecord();
}

void UsageSealer::readNextRecord()
{
    while (!m_entries.empty() && m_entries.front().value) {
        takeRecord(*m_entries.front().value);
        m_entries.pop_front();
    }
    if (m_entries.empty() && m_sealsWhenComplete && !areRecordsComplete()) {
        m_lookNotBefore = m_now + m_options.lookInterval;
        m_step = Step::Ready;
        return;
    }
    if (m_entries.empty()) {
        createSeal();
        return;
    }
    auto key = m_entries.front().key;
    m_entries.pop_front();
    call(Step::ReadingRecords, ReadUsageObject { 0, std::move(key) });
}

void UsageSealer::finishRecord(const UsageAnswer& answer)
{
    takeRecord(answer.value);
    readNextRecord();
}

void UsageSealer::takeRecord(const std::string& value)
{
    // A record that is missing or unreadable is left out; its writer sees that and writes it again.
    if (auto record = decodeUsageRecord(value)) {
        m_records.push_back(std::move(*record));
    }
}

void UsageSealer::createSeal()
{
    m_proposed = sealWindow(m_last, m_last.window + 1, m_records);
    m_proposed.restorations = m_restorations;
    m_proposed.withheldUntil = m_last.withheldUntil;
    call(Step::CreatingSeal,
        CreateUsageObject { 0, sealedWindowKey(m_proposed.window), encodeSealedWindow(m_proposed) });
}

void UsageSealer::finishSeal(const UsageAnswer& answer)
{
    if (answer.status == UsageAnswer::Status::Done) {
        acceptSeal(std::move(m_proposed));
    } else {
        // Made by another sealer, or by an attempt of this one whose answer was lost.
        call(Step::ReadingOtherSeal, ReadUsageObject { 0, sealedWindowKey(m_proposed.window) });
    }
}

void UsageSealer::finishOtherSeal(const UsageAnswer& answer)
{
    auto sealed = decodeSealedWindow(answer.value);
    if (answer.status != UsageAnswer::Status::Done || !sealed) {
        fail();
        return;
    }
    acceptSeal(std::move(*sealed));
}

void UsageSealer::acceptSeal(SealedWindow sealed)
{
    m_last = std::move(sealed);
    m_unreported.insert(m_last.window);
    m_step = Step::Ready;
}

void UsageSealer::startReporting()
{
    if (m_reporting) {
        sendNextReport();
    } else {
        call(Step::ReadingReported, ReadUsageObject { 0, sealedWindowKey(*m_unreported.begin()) });
    }
}

void UsageSealer::finishReportedSeal(const UsageAnswer& answer)
{
    auto sealed = decodeSealedWindow(answer.value);
    if (answer.status != UsageAnswer::Status::Done || !sealed) {
        m_reportRetryAt = m_now + m_options.retryInterval;
        m_step = Step::Ready;
        return;
    }
    m_reporting = std::move(*sealed);
    m_reported = m_reporting->isWithheld() || (!m_options.reportsWholeWindows && m_reporting->teams.empty());
    sendNextReport();
}

void UsageSealer::sendNextReport()
{
    if (m_reported) {
        call(Step::MarkingReported, CreateUsageObject { 0, reportedWindowKey(m_reporting->window), "done\n" });
        return;
    }
    UsageReport report { m_reporting->window, {}, *m_token, m_reporting->teams };
    if (m_options.reportsWholeWindows) {
        report.id = fmt::format("{}", report.window);
    } else {
        report.teams.erase(std::next(report.teams.begin()), report.teams.end());
        report.id = fmt::format("{}/{}", report.window, report.teams.begin()->first.value());
    }
    call(Step::Reporting, SendUsageReport { 0, std::move(report) });
}

void UsageSealer::finishReport(const UsageAnswer& answer)
{
    m_step = Step::Ready;
    if (answer.status == UsageAnswer::Status::Done) {
        if (!m_options.reportsWholeWindows) {
            m_reporting->teams.erase(m_reporting->teams.begin());
        }
        m_reported = m_options.reportsWholeWindows || m_reporting->teams.empty();
    } else {
        m_reportRetryAt = m_now + m_options.retryInterval;
    }
}

void UsageSealer::finishMark(const UsageAnswer&)
{
    // A refusal means that the mark is there.
    m_unreported.erase(m_reporting->window);
    m_reporting.reset();
    m_step = Step::Ready;
}

void UsageSealer::startRemoving()
{
    m_entries.clear();
    call(Step::ListingOld, ListUsageKeys { 0, fmt::format("usage/{}/", m_oldest) });
}

void UsageSealer::finishOldListing(const UsageAnswer& answer)
{
    // The mark goes last, as a seal without it would be reported again.
    for (const auto& entry : answer.entries) {
        if (entry.key == reportedWindowKey(m_oldest)) {
            m_entries.push_back(entry);
        } else {
            m_entries.push_front(entry);
        }
    }
    removeNextOld();
}

void UsageSealer::removeNextOld()
{
    if (m_entries.empty()) {
        ++m_oldest;
        m_step = Step::Ready;
        return;
    }
    auto entry = m_entries.front();
    m_entries.pop_front();
    call(Step::RemovingOld, RemoveUsageObject { 0, std::move(entry.key), entry.version });
}

} // namespace lagoonspoke
