#include "observe/LogLine.h"

#include <memory>

#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>

#include "observe/LogSink.h"

namespace lagoonspoke {

namespace {

std::unique_ptr<spdlog::formatter> makeFormatter(const std::string& instance)
{
    auto pattern = fmt::format("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l {}%v", instance);
    return std::make_unique<spdlog::pattern_formatter>(std::move(pattern), spdlog::pattern_time_type::utc, "\n");
}

// Never destroyed, as threads may log while the process ends.
const std::shared_ptr<LogSink>& sink()
{
    static const auto* shared = new std::shared_ptr<LogSink>(std::make_shared<LogSink>(LogSink::Options {}));
    return *shared;
}

spdlog::logger& logger()
{
    static auto* logger = [] {
        auto* made = new spdlog::logger("", sink());
        made->set_formatter(makeFormatter(""));
        return made;
    }();
    return *logger;
}

spdlog::level::level_enum levelOf(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return spdlog::level::debug;
    case LogLevel::Info:
        return spdlog::level::info;
    case LogLevel::Warning:
        return spdlog::level::warn;
    case LogLevel::Error:
        break;
    }
    return spdlog::level::err;
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \t\r\n\"=\\") != std::string_view::npos;
}

// Escapes what would end the value or the line, so that a caller cannot forge log lines.
void appendQuoted(std::string& out, std::string_view value)
{
    out += '"';
    for (char c : value) {
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        } else if (static_cast<unsigned char>(c) < 0x20) {
            fmt::format_to(std::back_inserter(out), "\\x{:02x}", static_cast<unsigned char>(c));
        } else {
            out += c;
        }
    }
    out += '"';
}

} // namespace

void setLogThreshold(LogLevel level)
{
    logger().set_level(levelOf(level));
}

void setLogInstance(std::string_view instance)
{
    logger().set_formatter(makeFormatter(fmt::format("instance={} ", instance)));
}

std::uint64_t countDroppedLogLines()
{
    auto drops = sink()->drops();
    return drops.overVolume + drops.readerBehind;
}

LogLine::LogLine(LogLevel level, std::string_view event)
    : m_level(level)
    , m_text(fmt::format("event={}", event))
{
}

LogLine::~LogLine()
{
    logger().log(levelOf(m_level), m_text);
}

LogLine& LogLine::addText(std::string_view key, std::string_view value)
{
    m_text += ' ';
    m_text += key;
    m_text += '=';
    if (needsQuotes(value)) {
        appendQuoted(m_text, value);
    } else {
        m_text += value;
    }
    return *this;
}

} // namespace lagoonspoke
