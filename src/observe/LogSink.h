#pragma once

#include <mutex>
#include <string>

#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include "observe/LogVolume.h"

namespace lagoonspoke {

// Writes log lines to a descriptor without ever waiting for its reader. What the reader does not take yet stays in a
// bounded buffer; lines beyond the buffer or the volume are dropped, counted, and reported in a line of their own when
// lines can be written again. Owned by the logger behind LogLine.
class LogSink : public spdlog::sinks::base_sink<std::mutex> {
public:
    struct Options {
        int descriptor = STDOUT_FILENO;
        // About a thousand lines; counts against the memory of the smallest instance, 160 MB.
        std::size_t bufferBytes = 256 * 1024;
        LogVolume::Options volume = {};
    };

    struct Drops {
        std::uint64_t overVolume = 0;
        std::uint64_t readerBehind = 0;
        bool operator==(const Drops&) const = default;
    };

    explicit LogSink(Options);

    Drops drops();

protected:
    void sink_it_(const spdlog::details::log_msg&) override;
    void flush_() override;

private:
    void append(const spdlog::details::log_msg&);
    void reportDrops(MonotonicTime now);
    bool canWrite() const;

    Options m_options;
    LogVolume m_volume;
    std::string m_buffer;
    std::uint64_t m_readerBehind = 0;
    bool m_readerGone = false;
    Drops m_reported;
    MonotonicTime m_reportedAt {};
};

} // namespace lagoonspoke
