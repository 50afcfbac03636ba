#include "fleet/OrderLog.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "lagoonspoke/core/Overload.h"

namespace lagoonspoke {

OrderLog OrderLog::Make(Options options)
{
    return OrderLog(std::move(options));
}

OrderLog::OrderLog(Options options)
    : m_options(std::move(options))
{
}

std::vector<OrderLogAction> OrderLog::handle(const OrderLogEvent& event, MonotonicTime now)
{
    m_now = now;
    std::visit(Overload {
                   [&](const OrderLeaseChanged& it) { changeLease(it.token); },
                   [&](const OrderWanted& it) {
                       if (isReady()) {
                           m_wanted.push_back(it.body);
                       }
                   },
                   [&](const OrderLogRead& it) { finishRead(it); },
                   [&](const OrderLogWritten& it) { finishWrite(it); },
                   [&](const OrderLogFailed& it) {
                       if (it.call == m_lastCall) {
                           m_calling = false;
                           m_loaded = false;
                           m_nextCall = m_now + m_options.retryInterval;
                       }
                   },
                   [&](const OrderAnswered& it) { finishOrder(it); },
               },
        event);
    return advance(now);
}

std::vector<OrderLogAction> OrderLog::advance(MonotonicTime now)
{
    m_now = now;
    startCalls();
    sendDue();
    return std::exchange(m_actions, {});
}

std::optional<MonotonicTime> OrderLog::nextWakeup() const
{
    std::optional<MonotonicTime> next;
    auto consider = [&](MonotonicTime time) { next = next ? std::min(*next, time) : time; };
    if (!m_token) {
        return next;
    }
    if (!m_calling && (!m_loaded || needsWrite())) {
        consider(m_nextCall);
    }
    for (const auto& sending : m_open) {
        if (m_loaded && m_written && !sending.inFlight) {
            consider(sending.nextSend);
        }
    }
    return next;
}

void OrderLog::changeLease(const std::optional<FencingToken>& token)
{
    // Nothing that was decided under an earlier epoch is kept, but for what is stored, which is read again.
    ++m_lastCall;
    m_token = token;
    m_calling = false;
    m_loaded = false;
    m_written = false;
    m_nextCall = m_now;
    m_wanted.clear();
    m_writing.clear();
    m_open.clear();
    m_finished.clear();
}

void OrderLog::finishRead(const OrderLogRead& read)
{
    if (read.call != m_lastCall || !m_calling) {
        return;
    }
    m_calling = false;
    m_loaded = true;
    m_version = read.version;
    m_lastNumber = read.record.lastNumber;
    // A write without an answer may have stored its orders; those are not wanted a second time.
    std::vector<FleetOrderBody> missing;
    for (const auto& order : std::exchange(m_writing, {})) {
        if (std::find(read.record.open.begin(), read.record.open.end(), order) == read.record.open.end()) {
            missing.push_back(order.body);
        }
    }
    m_wanted.insert(m_wanted.begin(), missing.begin(), missing.end());
    std::vector<Sending> open;
    for (const auto& order : read.record.open) {
        auto known = std::find_if(
            m_open.begin(), m_open.end(), [&](const Sending& sending) { return sending.order.id == order.id; });
        bool finished = std::find(m_finished.begin(), m_finished.end(), order.id) != m_finished.end();
        if (known != m_open.end()) {
            open.push_back(*known);
        } else if (!finished) {
            open.push_back({ order, false, m_now });
        }
    }
    m_open = std::move(open);
}

OrderLogRecord OrderLog::proposeRecord()
{
    OrderLogRecord record;
    record.lastNumber = m_lastNumber;
    m_removing = m_finished.size();
    for (const auto& sending : m_open) {
        record.open.push_back(sending.order);
    }
    for (auto& body : std::exchange(m_wanted, {})) {
        auto id = fmt::format("{}/{}", m_options.dataCentre, ++record.lastNumber);
        m_writing.push_back({ std::move(id), std::move(body) });
        record.open.push_back(m_writing.back());
    }
    return record;
}

void OrderLog::startCalls()
{
    if (!m_token || m_calling || m_now < m_nextCall) {
        return;
    }
    if (!m_loaded) {
        m_calling = true;
        m_actions.emplace_back(ReadOrderLog { ++m_lastCall });
    } else if (needsWrite()) {
        m_calling = true;
        auto record = proposeRecord();
        m_actions.emplace_back(WriteOrderLog { ++m_lastCall, std::move(record), m_version });
    }
}

void OrderLog::finishWrite(const OrderLogWritten& written)
{
    if (written.call != m_lastCall || !m_calling) {
        return;
    }
    m_calling = false;
    m_written = true;
    m_version = written.version;
    m_lastNumber += m_writing.size();
    m_finished.erase(m_finished.begin(), m_finished.begin() + static_cast<std::ptrdiff_t>(m_removing));
    for (auto& order : std::exchange(m_writing, {})) {
        m_open.push_back({ std::move(order), false, m_now });
    }
}

void OrderLog::sendDue()
{
    if (!m_token || !m_loaded || !m_written) {
        return;
    }
    for (auto& sending : m_open) {
        if (!sending.inFlight && sending.nextSend <= m_now) {
            sending.inFlight = true;
            m_actions.emplace_back(SendOrder { sending.order, *m_token });
        }
    }
}

void OrderLog::finishOrder(const OrderAnswered& answered)
{
    auto it = std::find_if(
        m_open.begin(), m_open.end(), [&](const Sending& sending) { return sending.order.id == answered.id; });
    if (it == m_open.end()) {
        return;
    }
    it->inFlight = false;
    if (answered.outcome == OrderAnswered::Outcome::Unknown) {
        it->nextSend = m_now + m_options.retryInterval;
        return;
    }
    m_actions.emplace_back(OrderFinished { it->order, answered.outcome == OrderAnswered::Outcome::Done });
    m_finished.push_back(answered.id);
    m_open.erase(it);
}

std::vector<FleetOrderBody> OrderLog::pending() const
{
    std::vector<FleetOrderBody> bodies(m_wanted.begin(), m_wanted.end());
    for (const auto& order : m_writing) {
        bodies.push_back(order.body);
    }
    for (const auto& sending : m_open) {
        bodies.push_back(sending.order.body);
    }
    return bodies;
}

} // namespace lagoonspoke
