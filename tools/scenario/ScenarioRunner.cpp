#include "tools/scenario/ScenarioRunner.h"

#include <csignal>
#include <fstream>
#include <iterator>

#include <fmt/format.h>

#include "lagoonspoke/core/Text.h"

namespace lagoonspoke {

namespace json = boost::json;

namespace {

// A condition that has not come true by then never will; far above every bound of the product, so that a slow
// machine does not change the verdict.
constexpr std::chrono::seconds awaitBound(60);
constexpr std::chrono::milliseconds pollInterval(20);

tl::unexpected<Error> invalid(std::string message)
{
    return makeError(ErrorCode::InvalidArgument, std::move(message));
}

json::value parseOperand(const std::string& text)
{
    if (auto number = parseNumber<double>(text)) {
        return *number;
    }
    if (text == "true" || text == "false") {
        return text == "true";
    }
    return json::value(text);
}

bool compare(const json::value& actual, const std::string& comparison, const std::string& operand)
{
    auto expected = parseOperand(operand);
    if (actual.is_number() && expected.is_number()) {
        auto left = actual.to_number<double>();
        auto right = expected.to_number<double>();
        return comparison == "==" ? left == right
            : comparison == "!="  ? left != right
            : comparison == ">="  ? left >= right
                                  : left <= right;
    }
    return comparison == "==" ? actual == expected : comparison == "!=" && actual != expected;
}

bool isComparison(const std::string& text)
{
    return text == "==" || text == "!=" || text == ">=" || text == "<=";
}

} // namespace

ScenarioRunner::ScenarioRunner(asio::io_context& io, Options options)
    : m_io(io)
    , m_options(std::move(options))
    , m_testbed(io, m_options.programDirectory, m_options.workDirectory)
{
}

asio::awaitable<Outcome<void>> ScenarioRunner::run(std::vector<Command> commands)
{
    for (auto& command : commands) {
        auto line = command.line;
        if (m_options.verbose) {
            fmt::print("line {}: {} {}\n", line, command.verb, fmt::join(command.words, " "));
            std::fflush(stdout);
        }
        auto done = co_await execute(std::move(command));
        if (!done) {
            co_return makeError(done.error().code, fmt::format("line {}: {}", line, done.error().message));
        }
    }
    co_return Outcome<void>();
}

asio::awaitable<Outcome<void>> ScenarioRunner::execute(Command command)
{
    const auto& verb = command.verb;
    const auto& words = command.words;
    auto name = words.empty() ? std::string() : words.front();
    if (verb == "await" || verb == "check") {
        co_return co_await awaitField(std::move(command), verb == "check");
    }
    if (verb == "include") {
        co_return co_await runIncluded(name);
    }
    if (verb == "ctl") {
        co_return co_await executeControl(std::move(command));
    }
    if (verb == "sleep" && parseNumber<int>(name)) {
        asio::steady_timer timer(m_io, std::chrono::milliseconds(*parseNumber<int>(name)));
        co_await timer.async_wait(useTuple);
        co_return Outcome<void>();
    }
    if (name.empty()) {
        co_return invalid(fmt::format("'{}' needs a name", verb));
    }
    if (verb == "load") {
        co_return co_await runLoad(std::move(command));
    }
    if (verb == "mark") {
        m_marks[name] = std::chrono::steady_clock::now();
        co_return Outcome<void>();
    }
    if (verb == "elapsed") {
        auto elapsed = std::chrono::steady_clock::now() - m_marks[name];
        fmt::print("{} {:.0f} ms\n", name, std::chrono::duration<double, std::milli>(elapsed).count());
        co_return Outcome<void>();
    }
    if (verb == "print") {
        co_return co_await printField(std::move(command));
    }
    if (verb == "request") {
        co_return m_testbed.startRequests(name, command.options);
    }
    if (verb == "leave") {
        co_return m_testbed.leaveRequest(name);
    }
    if (verb == "show") {
        co_return showRequests(words);
    }
    if (verb == "fault") {
        co_return co_await postFaults(std::move(command));
    }
    co_return co_await executeProgram(std::move(command));
}

Outcome<void> ScenarioRunner::showRequests(const std::vector<std::string>& names) const
{
    fmt::print("{:<22} {:>6} {:>9} {:>7} {:>12} {:>9}  {}\n", "request", "status", "complete", "tokens", "first token",
        "total", "response");
    for (const auto& name : names) {
        const auto* calls = m_testbed.findRequests(name);
        if (!calls) {
            return invalid(fmt::format("there is no request '{}'", name));
        }
        for (const auto& call : *calls) {
            const auto& result = call->result();
            fmt::print("{:<22} {:>6} {:>9} {:>7} {:>9.2f} ms {:>6.0f} ms  {}\n", name, result.status, result.complete,
                result.tokens, toMilliseconds(result.firstToken), toMilliseconds(result.total),
                result.code.empty() ? result.body.substr(0, 60) : result.code);
        }
    }
    return {};
}

asio::awaitable<Outcome<void>> ScenarioRunner::runIncluded(std::string file)
{
    std::ifstream in(fmt::format("{}/{}", m_options.scenarioDirectory, file));
    std::string text(std::istreambuf_iterator<char>(in), {});
    auto commands = in ? parseScenario(text) : invalid("cannot be read");
    auto result = Outcome<void>();
    if (commands) {
        result = co_await run(std::move(*commands));
    } else {
        result = tl::make_unexpected(commands.error());
    }
    if (!result) {
        co_return makeError(result.error().code, fmt::format("{}: {}", file, result.error().message));
    }
    co_return result;
}

asio::awaitable<Outcome<void>> ScenarioRunner::executeProgram(Command command)
{
    const auto& verb = command.verb;
    auto name = command.words.front();
    if (verb == "standin") {
        auto kind = command.words.size() > 1 ? command.words[1] : name;
        co_return co_await m_testbed.startStandin(name, kind, std::move(command.options));
    }
    if (verb == "engine" || verb == "service") {
        co_return co_await startServer(std::move(command));
    }
    if (verb == "daemon") {
        co_return co_await m_testbed.startDaemon(name, std::move(command.options));
    }
    if (verb == "server") {
        co_return co_await m_testbed.registerServer(name, std::move(command.options));
    }
    if (verb == "announce-leaving") {
        co_return co_await m_testbed.registerDaemon(name, true);
    }
    if (verb == "unregister") {
        co_return co_await m_testbed.unregister(name);
    }
    static const std::map<std::string, int> signals { { "kill", SIGKILL }, { "pause", SIGSTOP }, { "resume", SIGCONT },
        { "terminate", SIGTERM }, { "reload", SIGHUP } };
    if (auto it = signals.find(verb); it != signals.end()) {
        co_return m_testbed.sendSignal(name, it->second);
    }
    co_return invalid(fmt::format("there is no command '{}'", verb));
}

asio::awaitable<Outcome<void>> ScenarioRunner::startServer(Command command)
{
    static const std::vector<std::string> serverOptions { "data_centre", "target", "slots", "spot", "leaving" };
    std::map<std::string, std::string> server;
    for (const auto& option : serverOptions) {
        if (auto it = command.options.find(option); it != command.options.end()) {
            server[option] = it->second;
            if (option != "slots" || command.verb != "engine") {
                command.options.erase(it);
            }
        }
    }
    auto name = command.words.front();
    auto started = co_await m_testbed.startStandin(name, command.verb, std::move(command.options));
    if (!started || m_testbed.addressOf("instances").empty()) {
        co_return started;
    }
    co_return co_await m_testbed.registerServer(name, std::move(server));
}

asio::awaitable<Outcome<void>> ScenarioRunner::postFaults(Command command)
{
    json::object faults;
    for (const auto& [field, value] : command.options) {
        auto operand = parseOperand(value);
        // Whole numbers are sent as integers, as the stand-ins' integer fields expect them.
        faults[field] = operand.is_double() && parseNumber<std::int64_t>(value)
            ? json::value(*parseNumber<std::int64_t>(value))
            : operand;
    }
    auto posted = co_await m_testbed.postFaults(command.words.front(), std::move(faults));
    if (!posted) {
        co_return tl::make_unexpected(posted.error());
    }
    co_return Outcome<void>();
}

// ctl WORDS... [exit=CODE]: runs lagoonspokectl against the stand-in "store". Words that end in .json name files of
// the scenario's directory.
asio::awaitable<Outcome<void>> ScenarioRunner::executeControl(Command command)
{
    std::vector<std::string> arguments;
    for (const auto& word : command.words) {
        arguments.push_back(word.ends_with(".json") ? fmt::format("{}/{}", m_options.scenarioDirectory, word) : word);
    }
    arguments.push_back("--store=" + m_testbed.addressOf("store"));
    auto code = co_await m_testbed.runProgram("lagoonspokectl", std::move(arguments));
    if (!code) {
        co_return tl::make_unexpected(code.error());
    }
    auto it = command.options.find("exit");
    auto expected = it == command.options.end() ? 0 : parseNumber<int>(it->second).value_or(0);
    if (*code != expected) {
        co_return invalid(
            fmt::format("lagoonspokectl ended with {} instead of {}:\n{}", *code, expected, m_testbed.lastOutput()));
    }
    if (m_options.verbose) {
        fmt::print("{}", m_testbed.lastOutput());
    }
    co_return Outcome<void>();
}

asio::awaitable<Outcome<void>> ScenarioRunner::runLoad(Command command)
{
    std::vector<std::string> arguments;
    arguments.emplace_back("run");
    arguments.push_back(fmt::format("{}/{}", m_options.scenarioDirectory, command.words.front()));
    arguments.push_back("--entries=" + m_testbed.addressesOf("daemon"));
    arguments.push_back("--engines=" + m_testbed.addressesOf("engine"));
    arguments.emplace_back("--progress=false");
    for (const auto& [flag, value] : command.options) {
        arguments.push_back(fmt::format("--{}={}", flag, value));
    }
    auto code = co_await m_testbed.runProgram("lagoonspoke-load", std::move(arguments));
    if (!code) {
        co_return tl::make_unexpected(code.error());
    }
    fmt::print("{}", m_testbed.lastOutput());
    if (*code != 0) {
        co_return invalid("lagoonspoke-load failed");
    }
    co_return Outcome<void>();
}

asio::awaitable<Outcome<void>> ScenarioRunner::printField(Command command)
{
    if (command.words.size() != 2) {
        co_return invalid("expected SUBJECT FIELD");
    }
    auto value = co_await m_testbed.readField(command.words[0], command.words[1]);
    if (!value && value.error().code == ErrorCode::InvalidArgument) {
        co_return tl::make_unexpected(value.error());
    }
    fmt::print("{} {} {}\n", command.words[0], command.words[1], Testbed::describe(value));
    co_return Outcome<void>();
}

asio::awaitable<Outcome<void>> ScenarioRunner::awaitField(Command command, bool once)
{
    auto& words = command.words;
    if (words.size() == 2) {
        words.insert(words.end(), { "==", "true" });
    }
    if (words.size() != 4 || !isComparison(words[2])) {
        co_return invalid("expected SUBJECT FIELD [==|!=|>=|<= VALUE]");
    }
    auto end = std::chrono::steady_clock::now() + awaitBound;
    asio::steady_timer timer(m_io);
    while (true) {
        auto actual = co_await m_testbed.readField(words[0], words[1]);
        if (!actual && actual.error().code == ErrorCode::InvalidArgument) {
            co_return tl::make_unexpected(actual.error());
        }
        // What a process does not answer is null, which matches no number or text.
        if (compare(actual.value_or(json::value()), words[2], words[3])) {
            co_return Outcome<void>();
        }
        if (once || std::chrono::steady_clock::now() > end) {
            co_return invalid(fmt::format(
                "{} {} is {}, expected {} {}", words[0], words[1], Testbed::describe(actual), words[2], words[3]));
        }
        timer.expires_after(pollInterval);
        co_await timer.async_wait(useTuple);
    }
}

} // namespace lagoonspoke
