#include "settings/DaemonSettings.h"

#include <random>

#include <catch2/catch.hpp>

#include "settings/JsonReader.h"

namespace lagoonspoke {

// Guards against a daemon that starts with a mistyped field silently ignored, or that names only the first mistake.
TEST_CASE("every mistake in the settings is reported with its path")
{
    auto settings = parseDaemonSettings(R"({
        "instance": 7, "data_centre": "a", "region": "r", "caller_address": "localhost:80",
        "admin_address": "127.0.0.1:0", "traffic_threads": -1, "static_file": "x", "colour": "red" })");
    REQUIRE_FALSE(settings);
    REQUIRE(formatErrors(settings.error())
        == "instance: must be a string\n"
           "caller_address: must be IP:port\n"
           "traffic_threads: must be from 0 to 64, is -1\n"
           "colour: is not a known field\n");
}

// Guards against a name that breaks object-store keys, and against two lines for one mistake.
TEST_CASE("names and addresses are checked and reported once")
{
    auto settings = parseDaemonSettings(R"({ "instance": "", "data_centre": "a/b", "region": "r", "caller_address": 1,
        "admin_address": "127.0.0.1:0", "store_address": "127.0.0.1:1", "instance_list_address": "127.0.0.1:70000" })");
    REQUIRE_FALSE(settings);
    REQUIRE(formatErrors(settings.error())
        == "instance: must have 1 to 64 letters, digits, dots, underscores and dashes\n"
           "data_centre: must have 1 to 64 letters, digits, dots, underscores and dashes\n"
           "caller_address: must be a string\n"
           "instance_list_address: must be IP:port\n");
}

// Guards against a process that does not know when it is killed, as whole and fractional seconds may stand there.
TEST_CASE("the time until a process is killed is read in seconds")
{
    auto read = [](std::string_view grace) {
        return parseDaemonSettings(R"({ "instance": "i", "data_centre": "a", "region": "r", "static_file": "x",
            "caller_address": "127.0.0.1:0", "admin_address": "127.0.0.1:0")"
            + std::string(grace) + "}");
    };
    CHECK_FALSE(read("")->shutdownGrace);
    CHECK(read(R"(, "shutdown_grace_s": 8)")->shutdownGrace == std::chrono::seconds(8));
    CHECK(read(R"(, "shutdown_grace_s": 7.5)")->shutdownGrace == std::chrono::milliseconds(7500));
    auto refused = read(R"(, "shutdown_grace_s": 0)");
    REQUIRE_FALSE(refused);
    CHECK(formatErrors(refused.error()) == "shutdown_grace_s: must be from 0.1 to 3600, is 0\n");
}

// Guards against input that ends the process or is refused without a reason.
TEST_CASE("damaged settings are read or refused with a reason")
{
    const std::string text = R"({ "instance": "i", "data_centre": "a", "region": "r", "caller_address": "127.0.0.1:0",
        "admin_address": "[::1]:0", "traffic_threads": 2, "static_file": "x", "idle_timeout_ms": 1e3 })";
    constexpr std::string_view bytes = "{}[]\",:0123456789.eE-+ntf\\u\xff\x00";
    std::mt19937_64 random(1);
    for (int i = 0; i < 20'000; ++i) {
        auto damaged = text;
        for (auto n = random() % 4; n > 0; --n) {
            damaged[random() % damaged.size()] = bytes[random() % bytes.size()];
        }
        damaged.resize(random() % 8 ? damaged.size() : random() % damaged.size());
        auto settings = parseDaemonSettings(damaged);
        REQUIRE((settings || !settings.error().empty()));
    }
}

TEST_CASE("invalid JSON is reported with line and column")
{
    auto settings = parseDaemonSettings("{\n  \"instance\": oops }");
    REQUIRE_FALSE(settings);
    REQUIRE(settings.error()[0].message.find("line 2") != std::string::npos);
}

} // namespace lagoonspoke
