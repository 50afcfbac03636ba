#include "soak/PromiseLedger.h"

#include <algorithm>

#include <fmt/format.h>

namespace lagoonspoke::soak {

namespace {

constexpr std::string_view kindNames[] = { "stream", "whole", "booking", "lookup" };

bool isComplete(const CallRecord& call)
{
    return call.result.complete && call.result.status == 200 && call.result.code.empty();
}

bool isOfEngine(const CallRecord& call)
{
    return call.kind == CallKind::Stream || call.kind == CallKind::Whole;
}

// A connection that ends before any byte of the answer.
bool isUnanswered(const CallRecord& call)
{
    return call.result.status == 0 && !call.left;
}

} // namespace

PromiseLedger::PromiseLedger(Bounds bounds)
    : m_bounds(bounds)
{
}

void PromiseLedger::noteKey(const std::string& team, bool valid, MonotonicTime now)
{
    m_keys[team].push_back({ now, valid });
}

void PromiseLedger::noteDisturbance(const std::string& daemon, bool disturbed, MonotonicTime now)
{
    m_disturbances[daemon] = { disturbed, now };
}

void PromiseLedger::noteKill(const std::string& daemon, MonotonicTime now)
{
    m_kills.emplace(daemon, now);
}

void PromiseLedger::noteKillOfAll(MonotonicTime now)
{
    m_killsOfAll.push_back(now);
}

void PromiseLedger::noteStoreDown(bool down, MonotonicTime now)
{
    if (down) {
        m_outages.push_back({ now, MonotonicTime::max() });
    } else {
        m_outages.back().to = now;
    }
}

void PromiseLedger::noteCall(CallRecord call)
{
    m_completed += isComplete(call);
    checkAnswer(call);
    checkKey(call);
    m_calls.push_back(std::move(call));
}

void PromiseLedger::noteConfiguration(const std::string& process, std::int64_t number)
{
    auto& last = m_configurations[process];
    require(number >= last, fmt::format("configuration went back from {} to {} on {}", last, number, process));
    last = std::max(last, number);
}

void PromiseLedger::require(bool holds, const std::string& violation)
{
    if (!holds) {
        m_violations.push_back(violation);
    }
}

void PromiseLedger::violate(const CallRecord& call, const std::string& promise)
{
    const auto& result = call.result;
    m_violations.push_back(
        fmt::format("{}: call={} kind={} team={} daemon={} status={} code={} run={} tokens={} of {} failure=\"{}\"",
            promise, call.id, kindNames[static_cast<int>(call.kind)], call.team, call.daemon, result.status,
            result.code, result.run, result.tokens, call.askedTokens, result.failure));
}

void PromiseLedger::checkAnswer(const CallRecord& call)
{
    const auto& result = call.result;
    if (!result.inOrder) {
        violate(call, "an answer has a gap, a repeat or another request's tokens");
    }
    if (isComplete(call) && isOfEngine(call) && result.tokens != call.askedTokens) {
        violate(call, "an answer looks complete and is not");
    }
    if (isComplete(call) && !isOfEngine(call) && result.body.find("\"" + call.id + "\"") == std::string::npos) {
        violate(call, "an answer belongs to another request");
    }
}

bool PromiseLedger::isCalm(const std::string& daemon, MonotonicTime from) const
{
    auto it = m_disturbances.find(daemon);
    return it == m_disturbances.end() || (!it->second.disturbed && it->second.changed + m_bounds.contact <= from);
}

bool PromiseLedger::wasKilled(const std::string& daemon, MonotonicTime from, MonotonicTime to) const
{
    auto [begin, end] = m_kills.equal_range(daemon);
    return std::any_of(begin, end, [&](const auto& it) { return it.second >= from && it.second <= to; });
}

bool PromiseLedger::wasKeyAlways(const std::string& team, bool valid, MonotonicTime from, MonotonicTime to) const
{
    auto it = m_keys.find(team);
    if (it == m_keys.end()) {
        return valid;
    }
    const auto& changes = it->second;
    auto after
        = std::ranges::find_if(changes, [&](const auto& change) { return change.at + m_bounds.configuration > from; });
    bool before = after == changes.begin() || std::prev(after)->valid;
    bool changed = std::any_of(after, changes.end(), [&](const auto& change) { return change.at <= to; });
    return !changed && before == valid;
}

void PromiseLedger::checkKey(const CallRecord& call)
{
    if (call.result.status == 200 && wasKeyAlways(call.team, false, call.started, call.ended)
        && isCalm(call.daemon, call.started)) {
        violate(call, "a withdrawn key still works");
    }
    if (call.result.status == 401 && wasKeyAlways(call.team, true, call.started, call.ended)) {
        violate(call, "a valid key is refused");
    }
}

void PromiseLedger::checkEffects(const std::map<std::string, int>& effects)
{
    for (const auto& call : m_calls) {
        if (call.kind != CallKind::Booking) {
            continue;
        }
        auto it = effects.find(call.id);
        int count = it == effects.end() ? 0 : it->second;
        if (count > 1) {
            violate(call, fmt::format("a request that must not run twice ran {} times", count));
        }
        if (count > 0 && call.result.run == "not-run") {
            violate(call, "a refusal says that a request has not run, and it has");
        }
        if (count == 0 && isComplete(call)) {
            violate(call, "an answer to a request that never ran");
        }
        if (count > 0 && isUnanswered(call) && !wasKilled(call.daemon, call.started, call.ended)
            && isCalm(call.daemon, call.started)) {
            violate(call, "a request ran, and its connection was closed without an answer");
        }
    }
}

Duration PromiseLedger::storeTime(MonotonicTime from, MonotonicTime to) const
{
    Duration up = to - from;
    for (const auto& outage : m_outages) {
        up -= std::max(Duration(0), Duration(std::min(outage.to, to) - std::max(outage.from, from)));
    }
    return up;
}

bool PromiseLedger::mayBeUnrecorded(MonotonicTime ended) const
{
    return std::ranges::any_of(
        m_killsOfAll, [&](auto killed) { return ended <= killed && storeTime(ended, killed) <= m_bounds.unrecorded; });
}

std::vector<PromiseLedger::UsageSpan> PromiseLedger::compareUsage(
    const std::map<std::string, ReportedUsage>& reported) const
{
    std::map<std::string, std::pair<UsageSpan, UsageSpan>> teams; // requests and tokens
    for (const auto& call : m_calls) {
        bool due = isComplete(call) && !mayBeUnrecorded(call.ended);
        bool mayHaveRun = call.result.run != "not-run" && call.result.status != 401 && call.result.status != 403;
        auto& [requests, tokens] = teams[call.team];
        requests.least += due;
        requests.most += mayHaveRun;
        if (isOfEngine(call)) {
            tokens.least += static_cast<double>(due ? call.askedTokens : 0);
            tokens.most += mayHaveRun ? call.askedTokens : 0;
        }
    }
    std::vector<UsageSpan> spans;
    for (auto& [team, both] : teams) {
        auto it = reported.find(team);
        auto figures = it == reported.end() ? ReportedUsage {} : it->second;
        auto add = [&, name = team](UsageSpan span, const char* what, std::int64_t figure) {
            span.team = name;
            span.what = what;
            span.least *= 1 - m_bounds.usageShare;
            span.reported = figure;
            spans.push_back(std::move(span));
        };
        add(both.first, "requests", figures.requests);
        add(both.second, "tokens", figures.outputTokens);
    }
    return spans;
}

bool PromiseLedger::isUsageWhole(const std::map<std::string, ReportedUsage>& reported) const
{
    return std::ranges::all_of(
        compareUsage(reported), [](const auto& it) { return static_cast<double>(it.reported) >= it.least; });
}

void PromiseLedger::checkUsage(const std::map<std::string, ReportedUsage>& reported)
{
    for (const auto& it : compareUsage(reported)) {
        auto figures = fmt::format(
            "team={} {} reported={} at least={} at most={}", it.team, it.what, it.reported, it.least, it.most);
        require(static_cast<double>(it.reported) >= it.least, "usage is missing: " + figures);
        require(it.reported <= it.most, "usage is billed that nobody asked for: " + figures);
    }
}

} // namespace lagoonspoke::soak
