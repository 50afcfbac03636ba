#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http/Asio.h"

namespace lagoonspoke {

// A program under test: started with its standard output read line by line, signalled by its own process id.
// Owned by the Testbed; ends the program when destroyed.
class Process {
public:
    // Lines of standard output also go to the log file.
    Process(asio::io_context&, std::string program, std::vector<std::string> arguments, const std::string& logFile);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void sendSignal(int signal);
    bool exited();
    // Valid after exited() is true; a program ended by a signal gives 128 plus its number.
    int exitCode() const;
    // Processor time used so far, in milliseconds, and resident memory, in kilobytes; nothing after the program ended.
    std::optional<double> cpuMilliseconds() const;
    std::optional<std::int64_t> residentKilobytes() const;
    // The highest resident memory so far, in kilobytes, and the open descriptors; nothing after the program ended.
    std::optional<std::int64_t> peakResidentKilobytes() const;
    std::optional<std::size_t> descriptorCount() const;
    // Value of a key in the "listening" log line, or nothing before that line.
    std::optional<std::string> listeningField(const std::string& key) const;
    // Number of log lines that contain the text.
    int countLogLines(const std::string& text) const;

private:
    struct State;

    static asio::awaitable<void> readLines(std::shared_ptr<State>);

    std::shared_ptr<State> m_state;
};

} // namespace lagoonspoke
