#include "tools/scenario/Testbed.h"

#include <csignal>
#include <filesystem>
#include <fstream>

#include <boost/process.hpp>
#include <fmt/format.h>

#include "http/Endpoint.h"
#include "lagoonspoke/core/Text.h"
#include "tools/scenario/InheritNothing.h"

namespace lagoonspoke {

namespace json = boost::json;
namespace process = boost::process;

namespace {

constexpr std::chrono::seconds startBound(20);
constexpr std::chrono::seconds callBound(5);
constexpr std::chrono::seconds stopBound(60);
constexpr std::chrono::milliseconds pollInterval(10);

tl::unexpected<Error> invalid(std::string message)
{
    return makeError(ErrorCode::InvalidArgument, std::move(message));
}

std::string optionOf(const std::map<std::string, std::string>& options, const std::string& name, std::string fallback)
{
    auto it = options.find(name);
    return it == options.end() ? std::move(fallback) : it->second;
}

// Numbers and booleans become JSON numbers and booleans, anything else a string.
json::value toJson(const std::string& text)
{
    if (auto number = parseNumber<std::int64_t>(text)) {
        return *number;
    }
    if (text == "true" || text == "false") {
        return text == "true";
    }
    return json::value(text);
}

} // namespace

Testbed::Testbed(asio::io_context& io, std::string programDirectory, std::string workDirectory)
    : m_io(io)
    , m_programDirectory(std::move(programDirectory))
    , m_workDirectory(std::move(workDirectory))
{
}

asio::awaitable<Outcome<void>> Testbed::start(std::string name, std::string program, std::vector<std::string> arguments)
{
    auto path = fmt::format("{}/{}", m_programDirectory, program);
    if (!std::filesystem::exists(path)) {
        co_return invalid(fmt::format("there is no program {}", path));
    }
    auto& slot = m_processes[name];
    slot.reset();
    slot = std::make_unique<Process>(m_io, path, std::move(arguments), fmt::format("{}/{}.log", m_workDirectory, name));
    asio::steady_timer timer(m_io);
    auto end = std::chrono::steady_clock::now() + startBound;
    while (!slot->listeningField("event")) {
        if (slot->exited() || std::chrono::steady_clock::now() > end) {
            co_return makeError(ErrorCode::Unavailable, fmt::format("{} did not start, see {}.log", name, name));
        }
        timer.expires_after(pollInterval);
        co_await timer.async_wait(useTuple);
    }
    co_return Outcome<void>();
}

asio::awaitable<Outcome<void>> Testbed::startStandin(
    std::string name, std::string kind, std::map<std::string, std::string> flags)
{
    std::vector<std::string> arguments { kind };
    for (const auto& [flag, value] : flags) {
        arguments.push_back(fmt::format("--{}={}", flag, value));
    }
    m_kinds[name] = kind;
    co_return co_await start(name, "lagoonspoke-standin", std::move(arguments));
}

std::string Testbed::writeSettings(const std::string& name, const std::map<std::string, std::string>& settings)
{
    json::object object { { "instance", name }, { "region", "region-1" }, { "data_centre", "dc-1" },
        { "caller_address", "127.0.0.1:0" }, { "admin_address", "127.0.0.1:0" }, { "peer_address", "127.0.0.1:0" } };
    static const std::map<std::string, std::string> platformFields { { "store", "store_address" },
        { "instances", "instance_list_address" }, { "usage", "usage_address" }, { "fleet", "fleet_address" },
        { "weights", "weight_store_address" } };
    for (const auto& [standin, field] : platformFields) {
        if (auto address = addressOf(standin); !address.empty()) {
            object[field] = address;
        }
    }
    for (const auto& [field, value] : settings) {
        object[field] = toJson(value);
    }
    auto path = fmt::format("{}/{}.json", m_workDirectory, name);
    std::ofstream(path) << json::serialize(object);
    return path;
}

asio::awaitable<Outcome<void>> Testbed::startDaemon(std::string name, std::map<std::string, std::string> settings)
{
    m_kinds[name] = "daemon";
    settings.insert(m_defaults.begin(), m_defaults.end());
    m_daemonSettings[name] = settings;
    auto path = writeSettings(name, settings);
    std::vector<std::string> arguments;
    arguments.push_back("--config=" + path);
    auto started = co_await start(name, "lagoonspoked", std::move(arguments));
    if (!started || addressOf("instances").empty()) {
        co_return started;
    }
    co_return co_await registerDaemon(name, false);
}

asio::awaitable<Outcome<void>> Testbed::callPlatform(std::string method, std::string target, json::object body)
{
    auto endpoint = parseEndpoint(addressOf("instances"));
    if (!endpoint) {
        co_return invalid("there is no instance list; start a stand-in 'instances' first");
    }
    HttpCall call;
    call.method = std::move(method);
    call.target = std::move(target);
    call.body = json::serialize(body);
    auto reply = co_await callHttp(*endpoint, std::move(call), callBound);
    if (!reply) {
        co_return tl::make_unexpected(reply.error());
    }
    if (reply->status != 200) {
        co_return makeError(ErrorCode::Unavailable, fmt::format("the instance list replied with {}", reply->status));
    }
    co_return Outcome<void>();
}

asio::awaitable<Outcome<void>> Testbed::registerDaemon(std::string name, bool leaving)
{
    const auto& settings = m_daemonSettings[name];
    json::object body { { "id", name }, { "data_centre", optionOf(settings, "data_centre", "dc-1") },
        { "region", optionOf(settings, "region", "region-1") },
        { "peer_address", m_processes[name]->listeningField("peer_address").value_or("") }, { "leaving", leaving } };
    co_return co_await callPlatform("PUT", "/v1/instances/" + name, std::move(body));
}

asio::awaitable<Outcome<void>> Testbed::registerServer(std::string name, std::map<std::string, std::string> options)
{
    for (const auto& [option, value] : options) {
        m_servers[name][option] = value;
    }
    json::object body { { "id", name }, { "address", addressOf(name) }, { "data_centre", "dc-1" }, { "target", "m" },
        { "slots", 8 }, { "spot", false }, { "leaving", false } };
    for (const auto& [option, value] : m_servers[name]) {
        body[option] = toJson(value);
    }
    co_return co_await callPlatform("PUT", "/v1/servers/" + name, std::move(body));
}

asio::awaitable<Outcome<void>> Testbed::unregister(std::string name)
{
    auto kind = m_kinds[name] == "daemon" ? "instances" : "servers";
    co_return co_await callPlatform("DELETE", fmt::format("/v1/{}/{}", kind, name), json::object());
}

asio::awaitable<Outcome<int>> Testbed::runProgram(std::string program, std::vector<std::string> arguments)
{
    auto path = fmt::format("{}/{}", m_programDirectory, program);
    if (!std::filesystem::exists(path)) {
        co_return Outcome<int>(invalid(fmt::format("there is no program {}", path)));
    }
    auto output = fmt::format("{}/output.txt", m_workDirectory);
    process::child child(process::exe = path, process::args = arguments,
        process::std_in<process::null, (process::std_out & process::std_err)> output, inheritNothing());
    asio::steady_timer timer(m_io);
    std::error_code ec;
    while (child.running(ec)) {
        timer.expires_after(pollInterval);
        co_await timer.async_wait(useTuple);
    }
    std::ifstream in(output);
    m_lastOutput.assign(std::istreambuf_iterator<char>(in), {});
    co_return child.exit_code();
}

asio::awaitable<Outcome<json::value>> Testbed::postFaults(std::string name, json::object faults)
{
    auto endpoint = parseEndpoint(addressOf(name));
    if (!endpoint) {
        co_return Outcome<json::value>(invalid(fmt::format("there is no stand-in '{}'", name)));
    }
    HttpCall call;
    call.method = "POST";
    call.target = "/faults";
    call.body = json::serialize(faults);
    auto reply = co_await callHttp(*endpoint, std::move(call), callBound);
    if (!reply || reply->status != 200) {
        co_return Outcome<json::value>(
            makeError(ErrorCode::Unavailable, fmt::format("'{}' did not take the fault", name)));
    }
    co_return json::value();
}

HttpCall Testbed::makeCall(const std::map<std::string, std::string>& options, int index) const
{
    HttpCall call;
    call.target = optionOf(options, "path", "/v1/chat/completions");
    call.method = optionOf(options, "method", "POST");
    json::object body { { "model", optionOf(options, "model", "m") },
        { "max_tokens", toJson(optionOf(options, "tokens", "8")) },
        { "stream", toJson(optionOf(options, "stream", "true")) },
        { "messages",
            json::array { json::object { { "role", "user" },
                { "content", fmt::format("{} {}", optionOf(options, "prompt", "hello"), index) } } } } };
    call.body = optionOf(options, "body", call.method == "GET" ? "" : json::serialize(body));
    if (auto key = optionOf(options, "key", ""); !key.empty()) {
        call.headers.emplace_back("Authorization", "Bearer " + key);
    }
    if (auto className = optionOf(options, "class", ""); !className.empty()) {
        call.headers.emplace_back("x-lagoonspoke-class", className);
    }
    if (auto idempotent = optionOf(options, "idempotent", ""); !idempotent.empty()) {
        call.headers.emplace_back("x-idempotent", idempotent);
    }
    return call;
}

Outcome<void> Testbed::startRequests(const std::string& name, const std::map<std::string, std::string>& options)
{
    auto endpoint = parseEndpoint(addressOf(optionOf(options, "via", "")));
    if (!endpoint) {
        return invalid("via= must name a running daemon or stand-in");
    }
    auto count = parseNumber<int>(optionOf(options, "count", "1")).value_or(1);
    auto every = std::chrono::milliseconds(parseNumber<int>(optionOf(options, "every_ms", "0")).value_or(0));
    auto bound = std::chrono::milliseconds(parseNumber<int>(optionOf(options, "bound_ms", "60000")).value_or(60000));
    Calls calls;
    std::vector<Duration> delays;
    for (int i = 0; i < count; ++i) {
        calls.push_back(std::make_shared<StreamingCall>(*endpoint, makeCall(options, i), bound));
        delays.push_back(every * i);
    }
    auto& group = m_requests[name];
    group.insert(group.end(), calls.begin(), calls.end());
    asio::co_spawn(m_io, runGroup(std::move(calls), std::move(delays)), asio::detached);
    return {};
}

asio::awaitable<void> Testbed::runGroup(Calls calls, std::vector<Duration> delays)
{
    auto start = std::chrono::steady_clock::now();
    asio::steady_timer timer(m_io);
    for (std::size_t i = 0; i < calls.size(); ++i) {
        timer.expires_at(start + delays[i]);
        co_await timer.async_wait(useTuple);
        asio::co_spawn(
            m_io, [](std::shared_ptr<StreamingCall> call) -> asio::awaitable<void> { co_await call->run(); }(calls[i]),
            asio::detached);
    }
}

Outcome<void> Testbed::leaveRequest(const std::string& name)
{
    auto it = m_requests.find(name);
    if (it == m_requests.end()) {
        return invalid(fmt::format("there is no request '{}'", name));
    }
    for (auto& call : it->second) {
        call->leave();
    }
    return {};
}

Outcome<void> Testbed::sendSignal(const std::string& name, int signal)
{
    auto it = m_processes.find(name);
    if (it == m_processes.end()) {
        return invalid(fmt::format("there is no process '{}'", name));
    }
    it->second->sendSignal(signal);
    return {};
}

asio::awaitable<Outcome<void>> Testbed::stopDaemons()
{
    std::string failed;
    asio::steady_timer timer(m_io);
    auto end = std::chrono::steady_clock::now() + stopBound;
    for (const auto& [name, kind] : m_kinds) {
        if (kind == "daemon") {
            m_processes[name]->sendSignal(SIGTERM);
        }
    }
    for (const auto& [name, kind] : m_kinds) {
        if (kind != "daemon") {
            continue;
        }
        auto& daemon = *m_processes[name];
        while (!daemon.exited() && std::chrono::steady_clock::now() < end) {
            timer.expires_after(pollInterval);
            co_await timer.async_wait(useTuple);
        }
        auto code = daemon.exited() ? daemon.exitCode() : -1;
        fmt::print("{} stopped, exit code {}\n", name, code);
        failed += code == 0 ? "" : " " + name;
    }
    if (!failed.empty()) {
        co_return makeError(ErrorCode::Unavailable, "did not stop gracefully:" + failed);
    }
    co_return Outcome<void>();
}

std::string Testbed::addressOf(const std::string& name) const
{
    auto it = m_processes.find(name);
    if (it == m_processes.end()) {
        return {};
    }
    auto daemon = it->second->listeningField("caller_address");
    return daemon ? *daemon : it->second->listeningField("address").value_or("");
}

const Testbed::Calls* Testbed::findRequests(const std::string& name) const
{
    auto it = m_requests.find(name);
    return it == m_requests.end() ? nullptr : &it->second;
}

std::string Testbed::addressesOf(const std::string& kind) const
{
    std::string addresses;
    for (const auto& [name, of] : m_kinds) {
        if (of == kind) {
            addresses += (addresses.empty() ? "" : ",") + addressOf(name);
        }
    }
    return addresses;
}

std::vector<std::string> Testbed::names() const
{
    std::vector<std::string> names;
    for (const auto& [name, unused] : m_processes) {
        names.push_back(name);
    }
    return names;
}

} // namespace lagoonspoke
