#include "tools/ctl/LogStory.h"

#include <algorithm>
#include <set>
#include <span>

#include <absl/time/time.h>
#include <fmt/format.h>

#include "lagoonspoke/core/Text.h"

namespace lagoonspoke {

namespace {

// Events before a request that can explain it: the longest time until a configuration is in force.
constexpr auto contextBefore = absl::Seconds(10);
constexpr auto contextAfter = absl::Seconds(1);

// Events of an instance that decide how it answers.
constexpr std::string_view instanceEvents[]
    = { "configuration_applied", "configuration_refused", "keyed_admission", "store_lost", "store_regained",
          "settings_reloaded", "settings_refused", "listening", "shutdown_started", "stopped", "log_lines_dropped" };
// Events about a domain, of whichever instance runs its dispatcher.
constexpr std::string_view domainEvents[] = { "requests_waiting", "dispatcher_started", "dispatcher_stopped" };
// Events about one backend server.
constexpr std::string_view serverEvents[] = { "backend_server_leaving", "server_signal" };

bool isOneOf(std::string_view event, std::span<const std::string_view> events)
{
    return std::ranges::count(events, event) > 0;
}

std::optional<absl::Time> timeOf(const LogRecord& record)
{
    absl::Time time;
    std::string error;
    auto text = std::string(record.field("time"));
    return absl::ParseTime(absl::RFC3339_full, text, &time, &error) ? std::optional(time) : std::nullopt;
}

std::string readQuoted(std::string_view& rest)
{
    std::string value;
    rest.remove_prefix(1);
    while (!rest.empty() && rest.front() != '"') {
        if (rest.front() == '\\' && rest.size() > 1) {
            rest.remove_prefix(1);
        }
        value += rest.front();
        rest.remove_prefix(1);
    }
    rest.remove_prefix(rest.empty() ? 0 : 1);
    return value;
}

// What the request's own lines name, by which others are found.
struct Traits {
    std::set<std::string, std::less<>> requests;
    std::set<std::string, std::less<>> instances; // that took the request from its caller
    std::set<std::string, std::less<>> servers;
    std::set<std::string, std::less<>> targets;
    std::optional<absl::Time> begin;
    std::optional<absl::Time> end;

    void widen(absl::Time from, absl::Time to)
    {
        begin = begin ? std::min(*begin, from) : from;
        end = end ? std::max(*end, to) : to;
    }
};

void learn(Traits& traits, const LogRecord& record)
{
    traits.requests.emplace(record.field("request"));
    if (auto server = record.field("server"); !server.empty()) {
        traits.servers.emplace(server);
    }
    if (auto target = record.field("target"); !target.empty()) {
        traits.targets.emplace(target);
    }
    if (record.field("event") == "request_finished") {
        traits.instances.emplace(record.field("instance"));
    }
    if (auto time = timeOf(record)) {
        auto total = parseNumber<double>(record.field("total_ms")).value_or(0);
        traits.widen(*time - absl::Milliseconds(total), *time);
    }
}

bool isContext(const Traits& traits, const LogRecord& record)
{
    auto time = timeOf(record);
    if (!time || !traits.begin || *time < *traits.begin - contextBefore || *time > *traits.end + contextAfter) {
        return false;
    }
    auto event = record.field("event");
    if (isOneOf(event, instanceEvents)) {
        return traits.instances.contains(record.field("instance"));
    }
    if (isOneOf(event, domainEvents)) {
        auto domain = record.field("domain");
        return traits.targets.contains(domain.substr(std::min(domain.find('/') + 1, domain.size())));
    }
    return isOneOf(event, serverEvents) && traits.servers.contains(record.field("server"));
}

bool canMatter(const LogRecord& record)
{
    auto event = record.field("event");
    return event == "attempt_failed" || isOneOf(event, instanceEvents) || isOneOf(event, domainEvents)
        || isOneOf(event, serverEvents);
}

// Requests, other than these, whose attempts failed at the same server at about the same time.
std::size_t countOthers(const Traits& traits, const std::vector<LogRecord>& candidates)
{
    std::set<std::string_view> others;
    for (const auto& record : candidates) {
        auto time = timeOf(record);
        if (record.field("event") == "attempt_failed" && time && traits.begin && *time >= *traits.begin - contextAfter
            && *time <= *traits.end + contextAfter && traits.servers.contains(record.field("server"))
            && !traits.requests.contains(record.field("request"))) {
            others.insert(record.field("request"));
        }
    }
    return others.size();
}

std::string concludeFinished(const LogRecord& finished, std::size_t others)
{
    auto code = finished.field("code");
    auto server = finished.field("server");
    if (code == "ok") {
        return fmt::format("served by {} after {} attempts", server, finished.field("attempts"));
    }
    if (code == "overloaded" || code == "queue_full" || code == "team_limit" || code == "no_servers"
        || code == "deadline_too_short" || code == "quarantined") {
        return fmt::format("refused ({}): it has {}; placement_refused tells which instance decided and on what. The "
                           "caller was told to come back after {} ms",
            code, finished.field("run") == "not-run" ? "not run" : "perhaps run", finished.field("retry_after_ms"));
    }
    if (code == "shutting_down") {
        return fmt::format("refused (shutting_down): it has {}; its instance was told to end, and was not expected to "
                           "see the end of the request (shutdown_started, grace_ms)",
            finished.field("run") == "not-run" ? "not run" : "perhaps run");
    }
    if (code.starts_with("backend_")) {
        return fmt::format("failed at {} ({}); {} other requests failed there within a second: {}", server, code,
            others, others > 0 ? "the server or the way to it failed" : "this answer alone was lost or damaged");
    }
    if (code == "invalid_key" || code == "unknown_route" || code == "class_not_allowed" || code == "key_withdrawn") {
        return fmt::format("refused ({}) by configuration {}; compare configuration_applied on this instance", code,
            finished.field("configuration"));
    }
    return fmt::format("ended with {}; see docs/errors.md", code);
}

std::string conclude(const std::vector<LogRecord>& records, std::size_t others)
{
    auto finished = std::ranges::find_if(
        records.rbegin(), records.rend(), [](const auto& it) { return it.field("event") == "request_finished"; });
    if (finished == records.rend()) {
        return "no instance logged its end: it still runs, its instance was killed, or the line was dropped";
    }
    return concludeFinished(*finished, others);
}

} // namespace

std::string_view LogRecord::field(std::string_view name) const
{
    auto it = fields.find(std::string(name));
    return it == fields.end() ? std::string_view() : std::string_view(it->second);
}

std::optional<LogRecord> parseLogRecord(std::string_view line)
{
    auto start = line.find("time=");
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    line.remove_prefix(start);
    LogRecord record { {}, std::string(line) };
    while (!line.empty()) {
        auto equals = line.find('=');
        if (equals == std::string_view::npos) {
            break;
        }
        std::string key(line.substr(0, equals));
        line.remove_prefix(equals + 1);
        if (line.starts_with('"')) {
            record.fields[key] = readQuoted(line);
        } else {
            auto end = std::min(line.find(' '), line.size());
            record.fields[key] = line.substr(0, end);
            line.remove_prefix(end);
        }
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
    }
    return record.field("event").empty() ? std::nullopt : std::optional(std::move(record));
}

RequestStory collectStory(std::istream& logs, std::string_view id)
{
    std::vector<LogRecord> own;
    std::vector<LogRecord> candidates;
    std::map<std::string, std::vector<LogRecord>> unnamed; // lines that name a request, but not its caller's id
    Traits traits;
    std::string line;
    while (std::getline(logs, line)) {
        auto record = parseLogRecord(line);
        if (!record) {
            continue;
        }
        auto request = std::string(record->field("request"));
        if (record->field("caller_id") == id || request == id || traits.requests.contains(request)) {
            learn(traits, *record);
            own.push_back(std::move(*record));
        } else if (canMatter(*record)) {
            candidates.push_back(std::move(*record));
        } else if (!request.empty() && !record->fields.contains("caller_id")) {
            unnamed[request].push_back(std::move(*record));
        }
    }
    for (const auto& request : traits.requests) {
        std::ranges::move(unnamed[request], std::back_inserter(own));
    }
    RequestStory story;
    if (own.empty()) {
        return story;
    }
    auto others = countOthers(traits, candidates);
    story.records = std::move(own);
    std::ranges::copy_if(
        candidates, std::back_inserter(story.records), [&](const auto& it) { return isContext(traits, it); });
    std::ranges::stable_sort(story.records, {}, [](const LogRecord& it) { return it.field("time"); });
    story.conclusion = conclude(story.records, others);
    return story;
}

} // namespace lagoonspoke
