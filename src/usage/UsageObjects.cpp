#include "usage/UsageObjects.h"

#include <fmt/format.h>

#include "lagoonspoke/core/Text.h"

namespace lagoonspoke {

namespace {

// Lines are "KIND NUMBER... NAME"; only the name, which comes last, may contain spaces.
struct Line {
    std::string_view kind;
    std::vector<std::int64_t> numbers;
    std::string name;
};

std::string_view takeWord(std::string_view& text)
{
    auto end = text.find(' ');
    auto word = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    return word;
}

std::size_t numbersOf(std::string_view kind)
{
    if (kind == "team" || kind == "fact") {
        return 3;
    }
    return kind == "writer" || kind == "window" ? 1 : 0;
}

Outcome<Line> parseLine(std::string_view text)
{
    Line line;
    line.kind = takeWord(text);
    for (std::size_t i = numbersOf(line.kind); i > 0; --i) {
        auto number = parseNumber<std::int64_t>(takeWord(text));
        if (!number) {
            return makeError(ErrorCode::ProtocolViolation, "a number is expected in a usage object");
        }
        line.numbers.push_back(*number);
    }
    line.name = std::string(text);
    return line;
}

Outcome<std::vector<Line>> parseLines(std::string_view text)
{
    std::vector<Line> lines;
    while (!text.empty()) {
        auto end = text.find('\n');
        if (end == std::string_view::npos) {
            return makeError(ErrorCode::ProtocolViolation, "a usage object is cut off");
        }
        auto line = parseLine(text.substr(0, end));
        if (!line) {
            return tl::make_unexpected(line.error());
        }
        lines.push_back(std::move(*line));
        text.remove_prefix(end + 1);
    }
    if (lines.empty() || lines.back().kind != "end") {
        return makeError(ErrorCode::ProtocolViolation, "a usage object has no end");
    }
    return lines;
}

void appendTeams(std::string& out, const TeamFigures& teams)
{
    for (const auto& [team, figures] : teams) {
        fmt::format_to(std::back_inserter(out), "team {} {} {} {}\n", figures.requests, figures.promptTokens,
            figures.outputTokens, team.value());
    }
}

void appendFact(std::string& out, const UsageFact& fact)
{
    fmt::format_to(std::back_inserter(out), "fact {} {} {}\n", fact.window, fact.sequence, fact.final ? 1 : 0);
    appendTeams(out, fact.teams);
}

UsageFact readFact(const Line& line)
{
    return { line.numbers[0], static_cast<std::uint64_t>(line.numbers[1]), line.numbers[2] != 0, {} };
}

// " RESTORATIONS WITHHELD" after the window's number; nothing while the store was never restored.
std::string formatRestoration(const SealedWindow& sealed)
{
    return sealed.restorations > 0 ? fmt::format(" {} {}", sealed.restorations, sealed.withheldUntil) : std::string();
}

bool readRestoration(std::string_view text, SealedWindow& sealed)
{
    if (text.empty()) {
        return true;
    }
    auto restorations = parseNumber<std::uint64_t>(takeWord(text));
    auto withheldUntil = parseNumber<WindowNumber>(text);
    sealed.restorations = restorations.value_or(0);
    sealed.withheldUntil = withheldUntil.value_or(0);
    return restorations && withheldUntil;
}

tl::unexpected<Error> makeUnexpectedLine(const Line& line)
{
    return makeError(ErrorCode::ProtocolViolation, fmt::format("'{}' is not expected in a usage object", line.kind));
}

} // namespace

std::string encodeUsageRecord(const UsageWindowRecord& record)
{
    auto out = fmt::format("writer {} {}\n", record.completeBelow, record.writer.value());
    for (const auto& fact : record.facts) {
        appendFact(out, fact);
    }
    return out + "end\n";
}

Outcome<UsageWindowRecord> decodeUsageRecord(std::string_view text)
{
    auto lines = parseLines(text);
    if (!lines) {
        return tl::make_unexpected(lines.error());
    }
    UsageWindowRecord record;
    for (const auto& line : *lines) {
        if (line.kind == "writer") {
            record.completeBelow = line.numbers[0];
            record.writer = InstanceId(line.name);
        } else if (line.kind == "fact") {
            record.facts.push_back(readFact(line));
        } else if (line.kind == "team" && !record.facts.empty()) {
            record.facts.back().teams[TeamId(line.name)] = { line.numbers[0], line.numbers[1], line.numbers[2] };
        } else if (line.kind != "end") {
            return makeUnexpectedLine(line);
        }
    }
    return record;
}

std::string encodeSealedWindow(const SealedWindow& sealed)
{
    auto out = fmt::format("window {}{}\n", sealed.window, formatRestoration(sealed));
    appendTeams(out, sealed.teams);
    for (const auto& [id, writer] : sealed.writers) {
        fmt::format_to(std::back_inserter(out), "writer {} {}\n", writer.completeBelow, id.value());
        for (const auto& [window, fact] : writer.included) {
            appendFact(out, fact);
        }
    }
    return out + "end\n";
}

Outcome<SealedWindow> decodeSealedWindow(std::string_view text)
{
    auto lines = parseLines(text);
    if (!lines) {
        return tl::make_unexpected(lines.error());
    }
    SealedWindow sealed;
    SealedWindow::Writer* writer = nullptr;
    TeamFigures* teams = &sealed.teams;
    for (const auto& line : *lines) {
        if (line.kind == "window") {
            sealed.window = line.numbers[0];
            if (!readRestoration(line.name, sealed)) {
                return makeUnexpectedLine(line);
            }
        } else if (line.kind == "writer") {
            writer = &sealed.writers[InstanceId(line.name)];
            writer->completeBelow = line.numbers[0];
        } else if (line.kind == "fact" && writer != nullptr) {
            auto& fact = writer->included[line.numbers[0]];
            fact = readFact(line);
            teams = &fact.teams;
        } else if (line.kind == "team") {
            (*teams)[TeamId(line.name)] = { line.numbers[0], line.numbers[1], line.numbers[2] };
        } else if (line.kind != "end") {
            return makeUnexpectedLine(line);
        }
    }
    return sealed;
}

std::string usageRecordKey(WindowNumber window, const InstanceId& writer)
{
    return fmt::format("usage/{}/{}", window, writer.value());
}

std::string usageCarriedKey(WindowNumber window, const InstanceId& writer)
{
    return usageRecordKey(window, writer) + "~carried";
}

std::string sealedWindowKey(WindowNumber window)
{
    return fmt::format("usage/{}/sealed", window);
}

std::string reportedWindowKey(WindowNumber window)
{
    return fmt::format("usage/{}/reported", window);
}

std::optional<UsageKey> parseUsageKey(std::string_view key)
{
    static constexpr std::string_view prefix = "usage/";
    if (!key.starts_with(prefix)) {
        return std::nullopt;
    }
    key.remove_prefix(prefix.size());
    auto slash = key.find('/');
    auto window = parseNumber<WindowNumber>(key.substr(0, slash));
    if (slash == std::string_view::npos || !window) {
        return std::nullopt;
    }
    return UsageKey { *window, std::string(key.substr(slash + 1)) };
}

} // namespace lagoonspoke
