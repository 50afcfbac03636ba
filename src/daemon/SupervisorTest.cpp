#include "daemon/Supervisor.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

using namespace std::chrono_literals;

namespace {

struct Recorder {
    Supervisor::Child makeChild(std::string name, int failures = 0)
    {
        auto remaining = std::make_shared<int>(failures);
        auto start = [this, name, remaining]() -> Outcome<void> {
            events.push_back("start " + name);
            if ((*remaining)-- > 0) {
                return makeError(ErrorCode::Unavailable, "not yet");
            }
            return {};
        };
        auto stop = [this, name]() -> asio::awaitable<void> {
            events.push_back("stop " + name);
            co_return;
        };
        return { name, start, stop };
    }

    std::vector<std::string> events;
};

} // namespace

// Guards against a child that runs before or after what it needs.
TEST_CASE("children start in order and stop in reverse order")
{
    asio::io_context io;
    Recorder recorder;
    Supervisor supervisor(io, {});
    supervisor.add(recorder.makeChild("a"));
    supervisor.add(recorder.makeChild("b"));
    supervisor.start();
    asio::co_spawn(io, supervisor.stop(), asio::detached);
    io.run();
    REQUIRE(recorder.events == std::vector<std::string> { "start a", "start b", "stop b", "stop a" });
}

// Guards against a child that stays down after a failure, or that is stopped without having run.
TEST_CASE("a failed child is started again")
{
    asio::io_context io;
    Recorder recorder;
    Supervisor supervisor(io, { 1ms, 2ms, 1h });
    supervisor.add(recorder.makeChild("a", 2));
    supervisor.start();
    io.run();
    REQUIRE(recorder.events == std::vector<std::string> { "start a", "start a", "start a" });
    io.restart();
    supervisor.reportFailure("a", { ErrorCode::Unavailable, "lost" });
    supervisor.reportFailure("a", { ErrorCode::Unavailable, "lost again" });
    io.run();
    REQUIRE(recorder.events == std::vector<std::string> { "start a", "start a", "start a", "stop a", "start a" });
}

// Guards against a child that starts again while the process shuts down.
TEST_CASE("a child that failed does not start after stop")
{
    asio::io_context io;
    Recorder recorder;
    Supervisor supervisor(io, { 1h, 1h, 1h });
    supervisor.add(recorder.makeChild("a", 1));
    supervisor.start();
    // The restart waits on its timer before stop() cancels it.
    io.poll();
    asio::co_spawn(io, supervisor.stop(), asio::detached);
    io.run();
    REQUIRE(recorder.events == std::vector<std::string> { "start a" });
}

} // namespace lagoonspoke
