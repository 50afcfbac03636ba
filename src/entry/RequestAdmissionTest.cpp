#include "entry/RequestAdmission.h"

#include <catch2/catch.hpp>

#include "entry/Prompt.h"
#include "lagoonspoke/core/Digest.h"

namespace lagoonspoke {

namespace {

SnapshotPtr makeSnapshot()
{
    Configuration configuration;
    ClassSpec chat;
    chat.name = ClassName("chat");
    configuration.classes[chat.name] = chat;
    TeamSpec team;
    team.name = TeamId("red");
    team.classes = { chat.name };
    team.keys = { digestKey("secret") };
    configuration.teams[team.name] = team;
    RouteSpec route;
    route.pathPrefix = "/app";
    route.service = TargetName("app");
    route.className = chat.name;
    route.idempotentMethods = { "GET", "PUT" };
    configuration.routes["app"] = route;
    return ConfigurationSnapshot::Make(std::move(configuration));
}

tl::expected<AdmittedRequest, CallerError> admit(std::string method, std::string target, HeaderList headers = {})
{
    // The pointers in the result point into the snapshot.
    static const auto snapshot = makeSnapshot();
    headers.emplace_back("authorization", "bearer secret");
    return admitHead(*snapshot, { std::move(method), std::move(target), std::move(headers) });
}

} // namespace

// Guards against paths that a backend server resolves to another route.
TEST_CASE("targets that could leave their route are refused")
{
    for (const auto* target : { "app", "*", "http://x/app", "/app/..", "/app/../b", "/app/%2e%2E/b", "/app/.%2e",
             "/app/./b", "/app/%2f..", "/app\\..\\b", "/app/%5c", "" }) {
        CAPTURE(target);
        REQUIRE(admit("GET", target).error() == CallerError::InvalidTarget);
    }
    for (const auto* target : { "/app", "/app/...", "/app/a..b", "/app?x=../y", "/app/%2ea" }) {
        CAPTURE(target);
        REQUIRE(admit("GET", target).has_value());
    }
}

// Guards against an ambiguous request that is taken for the wrong team.
TEST_CASE("two Authorization headers authenticate nobody")
{
    HeaderList headers;
    headers.emplace_back("authorization", "Bearer other");
    REQUIRE(admit("GET", "/app", headers).error() == CallerError::InvalidKey);
}

// Guards against repeating a request that its caller or route marks as not repeatable.
TEST_CASE("method and header decide whether a request is idempotent")
{
    HeaderList never;
    never.emplace_back("x-idempotent", "False");
    REQUIRE(admit("PUT", "/app")->idempotent);
    REQUIRE_FALSE(admit("POST", "/app")->idempotent);
    REQUIRE_FALSE(admit("PUT", "/app", never)->idempotent);
    REQUIRE(admit("POST", "/v1/completions")->idempotent);
    REQUIRE(admit("GET", "/v1/completions").error() == CallerError::MethodNotAllowed);
}

// Guards against a prefix hash that matches prompts with another beginning.
TEST_CASE("prefix blocks are chained and whole")
{
    auto a = hashPrefix(std::string(256, 'a') + std::string(256, 'b') + "rest");
    auto b = hashPrefix(std::string(256, 'c') + std::string(256, 'b') + "rest");
    REQUIRE(a.size() == 2);
    REQUIRE(a[0] != b[0]);
    REQUIRE(a[1] != b[1]);
    REQUIRE(hashPrefix(std::string(600, 'a'))[0] == a[0]);
}

} // namespace lagoonspoke
