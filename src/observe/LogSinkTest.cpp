#include "observe/LogSink.h"

#include <array>
#include <csignal>
#include <future>

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <fmt/format.h>

namespace lagoonspoke {

namespace {

// A pipe whose reader reads only when told to.
class SlowReader {
public:
    SlowReader()
    {
        REQUIRE(::pipe2(m_ends.data(), O_CLOEXEC) == 0);
        REQUIRE(::fcntl(m_ends[0], F_SETFL, O_NONBLOCK) == 0);
    }
    ~SlowReader()
    {
        close();
        ::close(m_ends[1]);
    }

    int descriptor() const { return m_ends[1]; }
    void close()
    {
        if (m_ends[0] >= 0) {
            ::close(m_ends[0]);
        }
        m_ends[0] = -1;
    }
    std::string read() const
    {
        std::string text;
        std::array<char, 65536> part {};
        for (auto n = ::read(m_ends[0], part.data(), part.size()); n > 0;
             n = ::read(m_ends[0], part.data(), part.size())) {
            text.append(part.data(), static_cast<std::size_t>(n));
        }
        return text;
    }

private:
    std::array<int, 2> m_ends {};
};

void logLines(LogSink& sink, int count, std::string_view text)
{
    for (int i = 0; i < count; ++i) {
        sink.log(spdlog::details::log_msg("", spdlog::level::info, fmt::format("{} {}", text, i)));
    }
}

LogSink::Options makeOptions(int descriptor)
{
    return { .descriptor = descriptor,
        .bufferBytes = 64 * 1024,
        .volume = { .linesPerSecond = 1e6, .burst = 1e6, .reservedShare = 0 } };
}

} // namespace

// Guards against an instance that stands still because nobody reads its log.
TEST_CASE("a reader that stops blocks nobody, and the lines lost are counted and reported")
{
    SlowReader reader;
    LogSink sink(makeOptions(reader.descriptor()));
    constexpr int lines = 50'000;
    auto done = std::async(std::launch::async, [&] { logLines(sink, lines, "request"); });
    REQUIRE(done.wait_for(std::chrono::seconds(30)) == std::future_status::ready);
    auto drops = sink.drops();
    REQUIRE(drops.readerBehind > 0);
    REQUIRE(drops.overVolume == 0);

    auto text = reader.read();
    for (int i = 0; i < 10; ++i) {
        sink.flush();
        text += reader.read();
    }
    logLines(sink, 1, "after");
    text += reader.read();
    // Whole lines, none of them lost without being counted.
    REQUIRE(text.ends_with('\n'));
    auto report = fmt::format("event=log_lines_dropped over_volume=0 reader_behind={}", drops.readerBehind);
    REQUIRE(text.find(report) != std::string::npos);
    auto kept = std::count(text.begin(), text.end(), '\n') - 2;
    REQUIRE(static_cast<std::uint64_t>(kept) + drops.readerBehind == lines);
}

// Guards against a daemon that ends, or keeps filling its memory, when the reader of its log ends.
TEST_CASE("a reader that is gone costs its lines only")
{
    std::signal(SIGPIPE, SIG_IGN);
    SlowReader reader;
    LogSink sink(makeOptions(reader.descriptor()));
    reader.close();
    logLines(sink, 100, "request");
    REQUIRE(sink.drops().readerBehind == 100);
}

// Guards against a volume that is bounded silently.
TEST_CASE("lines beyond the volume are reported with their number")
{
    SlowReader reader;
    auto options = makeOptions(reader.descriptor());
    options.volume = { .linesPerSecond = 1000, .burst = 10, .reservedShare = 0 };
    LogSink sink(options);
    logLines(sink, 5000, "request");
    auto dropped = sink.drops().overVolume;
    REQUIRE(dropped > 0);
    std::this_thread::sleep_for(std::chrono::milliseconds(1100));
    logLines(sink, 1, "after");
    auto text = reader.read();
    REQUIRE(text.find("event=log_lines_dropped over_volume=") != std::string::npos);
    REQUIRE(text.find("reader_behind=0") != std::string::npos);
}

} // namespace lagoonspoke
