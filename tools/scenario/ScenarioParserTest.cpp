#include "tools/scenario/ScenarioParser.h"

#include <catch2/catch.hpp>

namespace lagoonspoke {

// A misread line would run another scenario than the one written, and could pass for the wrong reason.
TEST_CASE("a line is read as verb, words and options")
{
    auto commands = parseScenario("# comment\n\nrequest r1 via=d1 body='{\"a\": 1}' x >= 3  # tail\n");
    REQUIRE(commands);
    REQUIRE(commands->size() == 1);
    const auto& command = commands->front();
    REQUIRE(command.line == 3);
    REQUIRE(command.verb == "request");
    REQUIRE(command.words == std::vector<std::string> { "r1", "x", ">=", "3" });
    REQUIRE(command.options.at("body") == "{\"a\": 1}");
    REQUIRE(command.options.at("via") == "d1");
}

TEST_CASE("an unfinished quote is an error that names the line")
{
    auto commands = parseScenario("start\nrequest body='{");
    REQUIRE_FALSE(commands);
    REQUIRE(commands.error().message.find("line 2") != std::string::npos);
}

} // namespace lagoonspoke
