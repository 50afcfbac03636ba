#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "http/HttpClient.h"
#include "tools/client/StreamingCall.h"
#include "tools/scenario/Process.h"
#include "tools/scenario/ScenarioParser.h"

namespace lagoonspoke {

// The programs and requests of one scenario by name. Owned by the ScenarioRunner; used on its io_context only.
class Testbed {
public:
    using Calls = std::vector<std::shared_ptr<StreamingCall>>;

    // Programs are taken from one directory; settings and log files go to another.
    Testbed(asio::io_context&, std::string programDirectory, std::string workDirectory);

    // Each starts a program and waits for its "listening" log line.
    asio::awaitable<Outcome<void>> startStandin(
        std::string name, std::string kind, std::map<std::string, std::string> flags);
    // A setting of every daemon started from now on that does not give its own.
    void setDefault(const std::string& setting, const std::string& value) { m_defaults[setting] = value; }
    asio::awaitable<Outcome<void>> startDaemon(std::string name, std::map<std::string, std::string> settings);
    // Puts an instance or a backend server into the instance list, or takes it out.
    asio::awaitable<Outcome<void>> registerServer(std::string name, std::map<std::string, std::string> options);
    asio::awaitable<Outcome<void>> registerDaemon(std::string name, bool leaving);
    asio::awaitable<Outcome<void>> unregister(std::string name);
    // Runs a program to its end; the outcome is its exit code, its output goes to lastOutput().
    asio::awaitable<Outcome<int>> runProgram(std::string program, std::vector<std::string> arguments);
    asio::awaitable<Outcome<boost::json::value>> postFaults(std::string name, boost::json::object faults);

    Outcome<void> startRequests(const std::string& name, const std::map<std::string, std::string>& options);
    Outcome<void> leaveRequest(const std::string& name);
    Outcome<void> sendSignal(const std::string& name, int signal);
    // Ends every daemon with SIGTERM, waits and prints the exit codes; an error names those that failed.
    asio::awaitable<Outcome<void>> stopDaemons();

    // A field of a request, a group of requests, a daemon or a stand-in. InvalidArgument if there is no such subject or
    // field, another error if the process does not tell it.
    asio::awaitable<Outcome<boost::json::value>> readField(std::string subject, std::string field);
    // A field's value or why it could not be read, for messages.
    static std::string describe(const Outcome<boost::json::value>& field);
    // The address under which a program was last seen listening, such as that of the object store.
    std::string addressOf(const std::string& name) const;
    const std::string& lastOutput() const { return m_lastOutput; }
    std::vector<std::string> names() const;
    // Addresses of all programs of one kind, separated by commas.
    std::string addressesOf(const std::string& kind) const;
    // The group of requests of that name, or null.
    const Calls* findRequests(const std::string& name) const;

private:
    asio::awaitable<Outcome<void>> start(std::string name, std::string program, std::vector<std::string> arguments);
    asio::awaitable<Outcome<void>> callPlatform(std::string method, std::string target, boost::json::object body);
    std::string writeSettings(const std::string& name, const std::map<std::string, std::string>& settings);
    HttpCall makeCall(const std::map<std::string, std::string>& options, int index) const;
    asio::awaitable<void> runGroup(Calls calls, std::vector<Duration> delays);
    Outcome<boost::json::value> readRequestField(const Calls&, const std::string& field) const;
    asio::awaitable<Outcome<boost::json::value>> readDaemonField(std::string name, std::string field);
    asio::awaitable<Outcome<boost::json::value>> readStatistic(std::string name, std::string field);
    asio::awaitable<Outcome<std::string>> fetch(std::string address, std::string target);

    asio::io_context& m_io;
    std::string m_programDirectory;
    std::string m_workDirectory;
    std::map<std::string, std::unique_ptr<Process>> m_processes;
    std::map<std::string, std::string> m_kinds; // of the programs: "daemon" or the stand-in's kind
    std::map<std::string, std::map<std::string, std::string>> m_servers; // options of the registered backend servers
    std::map<std::string, std::map<std::string, std::string>> m_daemonSettings;
    std::map<std::string, std::string> m_defaults;
    std::map<std::string, Calls> m_requests;
    std::string m_lastOutput;
};

} // namespace lagoonspoke
