#include "tools/scenario/Process.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>

#include <unistd.h>

#include <absl/strings/str_split.h>
#include <boost/process.hpp>
#include <boost/process/async_pipe.hpp>

#include "tools/scenario/InheritNothing.h"

namespace lagoonspoke {

namespace process = boost::process;

// Shared with the coroutine that reads the program's standard output.
struct Process::State {
    explicit State(asio::io_context& io)
        : pipe(io)
    {
    }
    process::async_pipe pipe;
    process::child child;
    std::ofstream log;
    std::vector<std::string> lines;
    std::map<std::string, std::string> listening;
};

Process::Process(
    asio::io_context& io, std::string program, std::vector<std::string> arguments, const std::string& logFile)
    : m_state(std::make_shared<State>(io))
{
    // A restarted program's lines follow those of the process before.
    m_state->log.open(logFile, std::ios::app);
    m_state->child = process::child(process::exe = program, process::args = arguments,
        process::std_in<process::null, process::std_out> m_state->pipe, inheritNothing());
    asio::co_spawn(io, readLines(m_state), asio::detached);
}

Process::~Process()
{
    if (!exited()) {
        sendSignal(SIGKILL);
        std::error_code ec;
        m_state->child.wait(ec);
    }
}

asio::awaitable<void> Process::readLines(std::shared_ptr<State> state)
{
    std::string buffer;
    while (true) {
        auto [ec, n] = co_await asio::async_read_until(state->pipe, asio::dynamic_buffer(buffer), '\n', useTuple);
        if (ec) {
            co_return;
        }
        auto line = buffer.substr(0, n - 1);
        buffer.erase(0, n);
        state->log << line << std::endl;
        if (line.find(" event=listening ") != std::string::npos) {
            for (const std::string& field : std::vector<std::string>(absl::StrSplit(line, ' '))) {
                auto equals = field.find('=');
                if (equals != std::string::npos) {
                    state->listening[field.substr(0, equals)] = field.substr(equals + 1);
                }
            }
        }
        state->lines.push_back(std::move(line));
    }
}

void Process::sendSignal(int signal)
{
    if (!exited()) {
        ::kill(m_state->child.id(), signal);
    }
}

bool Process::exited()
{
    std::error_code ec;
    return !m_state->child.running(ec);
}

int Process::exitCode() const
{
    auto status = m_state->child.native_exit_code();
    return WIFSIGNALED(status) ? 128 + WTERMSIG(status) : WEXITSTATUS(status);
}

std::optional<double> Process::cpuMilliseconds() const
{
    std::ifstream in("/proc/" + std::to_string(m_state->child.id()) + "/stat");
    std::string text(std::istreambuf_iterator<char>(in), {});
    // The program's name, in parentheses, may hold blanks; utime and stime are the 12th and 13th fields after it.
    auto end = text.rfind(") ");
    if (end == std::string::npos) {
        return std::nullopt;
    }
    std::vector<std::string> fields = absl::StrSplit(text.substr(end + 2), ' ');
    if (fields.size() < 13) {
        return std::nullopt;
    }
    auto ticks = std::strtod(fields[11].c_str(), nullptr) + std::strtod(fields[12].c_str(), nullptr);
    return ticks * 1000 / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::optional<std::int64_t> Process::residentKilobytes() const
{
    std::ifstream in("/proc/" + std::to_string(m_state->child.id()) + "/statm");
    std::int64_t size = 0;
    std::int64_t resident = 0;
    if (!(in >> size >> resident)) {
        return std::nullopt;
    }
    return resident * sysconf(_SC_PAGESIZE) / 1024;
}

std::optional<std::int64_t> Process::peakResidentKilobytes() const
{
    std::ifstream in("/proc/" + std::to_string(m_state->child.id()) + "/status");
    std::string word;
    std::int64_t kilobytes = 0;
    while (in >> word) {
        if (word == "VmHWM:" && in >> kilobytes) {
            return kilobytes;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> Process::descriptorCount() const
{
    std::error_code ec;
    std::filesystem::directory_iterator list("/proc/" + std::to_string(m_state->child.id()) + "/fd", ec);
    if (ec) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(std::distance(begin(list), end(list)));
}

std::optional<std::string> Process::listeningField(const std::string& key) const
{
    auto it = m_state->listening.find(key);
    return it == m_state->listening.end() ? std::nullopt : std::optional(it->second);
}

int Process::countLogLines(const std::string& text) const
{
    return static_cast<int>(std::count_if(m_state->lines.begin(), m_state->lines.end(),
        [&](const auto& line) { return line.find(text) != std::string::npos; }));
}

} // namespace lagoonspoke
