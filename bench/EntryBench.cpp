// Measures the request path of one traffic thread against direct calls to the same in-process stub engine: added
// latency, requests per second and memory for each open stream. Callers, engine, control thread and traffic thread
// are threads of this process, connected over loopback. The log is off.
#include <algorithm>
#include <fstream>
#include <numeric>

#include <fmt/format.h>

#include "daemon/TrafficThread.h"
#include "http/Endpoint.h"
#include "lagoonspoke/core/Digest.h"
#include "observe/LogLine.h"

namespace lagoonspoke {

namespace {

constexpr std::string_view key = "bench-key-1";
constexpr int latencyRounds = 10;
constexpr int latencyRequests = 500; // in each round and on each path
constexpr int loadConnections = 32;
constexpr int loadRequests = 1000; // on each connection
constexpr int openStreams = 1000;

// An event loop with its thread.
struct Loop {
    Loop()
        : io(1)
        , work(asio::make_work_guard(io))
        , thread([this] { io.run(); })
    {
    }
    ~Loop() { stop(); }
    void stop()
    {
        io.stop();
        if (thread.joinable()) {
            thread.join();
        }
    }

    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::thread thread;
};

asio::awaitable<void> answer(HttpExchange& exchange)
{
    auto body = co_await exchange.readBody();
    HeaderList headers;
    headers.emplace_back("x-request-id", exchange.header("x-request-id"));
    if (body && body->find("\"stream\":true") == std::string::npos) {
        co_await exchange.respond(
            http::status::ok, "application/json", R"({"usage":{"prompt_tokens":3,"completion_tokens":1}})", headers);
        co_return;
    }
    co_await exchange.startStream(http::status::ok, "text/event-stream", headers);
    co_await exchange.writeChunk("data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n");
    char byte = 0;
    co_await exchange.socket().async_read_some(asio::buffer(&byte, 1), useTuple);
    exchange.closeAfter();
}

SnapshotPtr makeSnapshot()
{
    Configuration configuration;
    configuration.number = 1;
    configuration.tiers[Tier { 0 }] = {};
    ClassSpec chat;
    chat.name = ClassName("chat");
    configuration.classes[chat.name] = chat;
    TeamSpec team;
    team.name = TeamId("red");
    team.classes = { chat.name };
    team.keys = { digestKey(key) };
    configuration.teams[team.name] = team;
    DeploymentSpec model;
    model.name = TargetName("m");
    configuration.deployments[model.name] = model;
    return ConfigurationSnapshot::Make(std::move(configuration));
}

std::string makeRequest(bool stream)
{
    std::string body = fmt::format(
        R"({{"model":"m","stream":{},"messages":[{{"role":"user","content":"{}"}}]}})", stream, std::string(400, 'p'));
    return fmt::format("POST /v1/chat/completions HTTP/1.1\r\nhost: bench\r\nauthorization: Bearer {}\r\n"
                       "content-type: application/json\r\ncontent-length: {}\r\n\r\n{}",
        key, body.size(), body);
}

bool isWhole(const std::string& received)
{
    auto end = received.find("\r\n\r\n");
    auto at = received.find("Content-Length: ");
    return end != std::string::npos && at < end && received.size() >= end + 4 + std::stoul(received.substr(at + 16));
}

// Sends one request and reads its whole response, or its first event.
void exchangeOnce(tcp::socket& socket, const std::string& request, std::string_view until = {})
{
    asio::write(socket, asio::buffer(request));
    std::string received;
    std::array<char, 4096> buf;
    while (until.empty() ? !isWhole(received) : received.find(until) == std::string::npos) {
        received.append(buf.data(), socket.read_some(asio::buffer(buf)));
    }
    if (!received.starts_with("HTTP/1.1 200")) {
        throw std::runtime_error(received);
    }
}

void measureLatency(tcp::socket& socket, std::vector<double>& microseconds)
{
    auto request = makeRequest(false);
    for (int i = 0; i < latencyRequests; ++i) {
        auto start = readMonotonicClock();
        exchangeOnce(socket, request);
        microseconds.push_back(toSeconds(readMonotonicClock() - start) * 1e6);
    }
}

double percentile(std::vector<double> values, double fraction)
{
    std::ranges::sort(values);
    return values[static_cast<std::size_t>(static_cast<double>(values.size() - 1) * fraction)];
}

tcp::socket connectTo(asio::io_context& io, const tcp::endpoint& endpoint)
{
    tcp::socket socket(io);
    socket.connect(endpoint);
    socket.set_option(tcp::no_delay(true));
    return socket;
}

// Requests per second over several connections, each with one request at a time.
double measureThroughput(const tcp::endpoint& endpoint)
{
    asio::io_context io;
    auto request = makeRequest(false);
    auto client = [&]() -> asio::awaitable<void> {
        auto socket = connectTo(io, endpoint);
        std::array<char, 4096> buf;
        for (int i = 0; i < loadRequests; ++i) {
            co_await asio::async_write(socket, asio::buffer(request), asio::use_awaitable);
            std::string received;
            while (!isWhole(received)) {
                auto n = co_await socket.async_read_some(asio::buffer(buf), asio::use_awaitable);
                received.append(buf.data(), n);
            }
        }
    };
    for (int i = 0; i < loadConnections; ++i) {
        asio::co_spawn(io, client, asio::detached);
    }
    auto start = readMonotonicClock();
    io.run();
    return loadConnections * loadRequests / toSeconds(readMonotonicClock() - start);
}

std::size_t residentBytes()
{
    std::ifstream status("/proc/self/statm");
    std::size_t pages = 0;
    status >> pages >> pages;
    return pages * 4096;
}

// Growth of the resident memory for each stream that is opened and held.
double measureStreamBytes(const tcp::endpoint& endpoint, std::vector<tcp::socket>& held, asio::io_context& io)
{
    auto request = makeRequest(true);
    auto before = residentBytes();
    for (int i = 0; i < openStreams; ++i) {
        held.push_back(connectTo(io, endpoint));
        exchangeOnce(held.back(), request, "\"a\"");
    }
    return (static_cast<double>(residentBytes()) - static_cast<double>(before)) / openStreams;
}

void report(const tcp::endpoint& direct, const tcp::endpoint& routed)
{
    asio::io_context io;
    std::vector<double> directTimes;
    std::vector<double> routedTimes;
    {
        auto directSocket = connectTo(io, direct);
        auto routedSocket = connectTo(io, routed);
        std::vector<double> warmUp;
        measureLatency(directSocket, warmUp);
        measureLatency(routedSocket, warmUp);
        // Alternating rounds see the same load from other programs.
        for (int i = 0; i < latencyRounds; ++i) {
            measureLatency(directSocket, directTimes);
            measureLatency(routedSocket, routedTimes);
        }
    }
    for (double fraction : { 0.5, 0.99 }) {
        auto plain = percentile(directTimes, fraction);
        auto through = percentile(routedTimes, fraction);
        fmt::print("latency p{:.0f}: direct {:.0f} us, routed {:.0f} us, added {:.0f} us, ratio {:.2f}\n",
            fraction * 100, plain, through, through - plain, through / plain);
    }
    auto plain = measureThroughput(direct);
    auto through = measureThroughput(routed);
    fmt::print("throughput, {} connections: direct {:.0f}/s, routed {:.0f}/s, ratio {:.2f}\n", loadConnections, plain,
        through, through / plain);
    std::vector<tcp::socket> held;
    auto plainBytes = measureStreamBytes(direct, held, io);
    auto routedBytes = measureStreamBytes(routed, held, io);
    fmt::print("memory for each open stream: direct {:.0f} B, routed {:.0f} B, router {:.0f} B\n", plainBytes,
        routedBytes, routedBytes - plainBytes);
}

int runBench()
{
    setLogThreshold(LogLevel::Warning);
    Loop engineLoop;
    Loop controlLoop;
    HttpServer::Options options;
    auto loopback = tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0);
    auto engine = HttpServer::Make(engineLoop.io, loopback, options, answer);
    asio::post(engineLoop.io, [&] { (*engine)->start(); });
    DaemonSettings settings;
    settings.instance = InstanceId("bench");
    settings.region = RegionId("r");
    settings.tokenGapTimeout = std::chrono::minutes(10);
    prometheus::Registry registry;
    RequestMetrics metrics(registry);
    OwnDialect dialect;
    auto address = formatEndpoint((*engine)->endpoint());
    std::unique_ptr<TrafficThread> traffic;
    std::uint64_t lastGrant = 0;
    auto made = TrafficThread::Make(0, settings, loopback, dialect, metrics, [&](int, EntryMessage message) {
        // Grants every request after a hop to the control thread and back.
        asio::post(controlLoop.io, [&, message = std::move(message)] {
            if (const auto* place = std::get_if<PlaceRequest>(&message)) {
                traffic->deliver(Grant {
                    place->request, GrantId(++lastGrant), BackendServerId("s"), address, std::chrono::seconds(2) });
            }
        });
    });
    traffic = std::move(*made);
    traffic->start();
    traffic->applySnapshot(makeSnapshot());
    report((*engine)->endpoint(), traffic->endpoint());
    controlLoop.stop();
    traffic->stop();
    engineLoop.stop();
    return 0;
}

} // namespace

} // namespace lagoonspoke

int main()
{
    try {
        return lagoonspoke::runBench();
    } catch (const std::exception& failure) {
        fmt::print(stderr, "{}\n", failure.what());
        return 1;
    }
}
