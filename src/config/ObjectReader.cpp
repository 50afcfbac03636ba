#include "config/ObjectReader.h"

#include <algorithm>
#include <cassert>
#include <set>

#include <fmt/format.h>

#include "config/CanonicalJson.h"

namespace lagoonspoke {

namespace {

using namespace std::chrono_literals;

constexpr int maxTierLevel = 63;
constexpr double maxRate = 1e9;

// A number kept to six decimals, so that its text reads back to the same bytes.
double readDecimal(
    JsonReader& spec, std::string_view field, double least, double most, std::optional<double> fallback = {})
{
    return roundToDecimals(spec.readNumber(field, least, most, fallback));
}

std::vector<std::string> readDistinct(
    JsonReader& spec, std::string_view field, std::optional<std::vector<std::string>> fallback = {})
{
    auto values = spec.readStrings(field, std::move(fallback));
    std::set<std::string_view> seen;
    for (std::size_t i = 0; i < values.size(); ++i) {
        if (!seen.insert(values[i]).second) {
            spec.report(fmt::format("{}[{}]", field, i), "is listed twice");
        }
    }
    return values;
}

TierSpec readTier(JsonReader& spec)
{
    TierSpec tier;
    tier.tier.level = static_cast<std::uint8_t>(spec.readInteger("level", 0, maxTierLevel));
    tier.guaranteedShare = readDecimal(spec, "guaranteed_share", 0, 1, tier.guaranteedShare);
    return tier;
}

ClassSpec readClass(JsonReader& spec, const std::string& name)
{
    ClassSpec result;
    result.name = ClassName(name);
    result.tier.level = static_cast<std::uint8_t>(spec.readInteger("tier", 0, maxTierLevel));
    result.firstTokenTarget = spec.readMilliseconds("first_token_target_ms", 1ms, 1h, result.firstTokenTarget);
    result.tokenGapTarget = spec.readMilliseconds("token_gap_target_ms", 1ms, 1h, result.tokenGapTarget);
    result.deadline = spec.readMilliseconds("deadline_ms", 1ms, 24h, result.deadline);
    result.maxQueued = static_cast<int>(spec.readInteger("max_queued", 0, 1'000'000, result.maxQueued));
    return result;
}

TeamLimits readLimits(JsonReader& spec)
{
    TeamLimits limits;
    if (auto reader = spec.readObject("limits")) {
        if (reader->has("requests_per_second")) {
            limits.requestsPerSecond = readDecimal(*reader, "requests_per_second", 0, maxRate);
        }
        if (reader->has("tokens_per_second")) {
            limits.tokensPerSecond = readDecimal(*reader, "tokens_per_second", 0, maxRate);
        }
        if (reader->has("concurrent")) {
            limits.concurrent = static_cast<int>(reader->readInteger("concurrent", 0, 1'000'000));
        }
        reader->rejectUnknownFields();
    }
    return limits;
}

bool isDigest(std::string_view text)
{
    return text.size() == 64 && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

TeamSpec readTeam(JsonReader& spec, const std::string& name)
{
    TeamSpec team;
    team.name = TeamId(name);
    team.weight = readDecimal(spec, "weight", 0.001, 1000, team.weight);
    team.limits = readLimits(spec);
    for (auto& digest : readDistinct(spec, "keys", std::vector<std::string>())) {
        if (!isDigest(digest)) {
            spec.report(
                fmt::format("keys[{}]", team.keys.size()), "must be a SHA-256 digest in lower-case hexadecimal");
        }
        team.keys.emplace_back(std::move(digest));
    }
    for (auto& className : readDistinct(spec, "classes")) {
        team.classes.emplace_back(std::move(className));
    }
    if (team.classes.empty() && spec.has("classes")) {
        spec.report("classes", "must name at least one class");
    }
    return team;
}

DeploymentSpec readDeployment(JsonReader& spec, const std::string& name)
{
    DeploymentSpec deployment;
    deployment.name = TargetName(name);
    deployment.version = spec.readString("version", "1");
    deployment.adapters = readDistinct(spec, "adapters", std::vector<std::string>());
    deployment.slotsPerServer
        = static_cast<int>(spec.readInteger("slots_per_server", 1, 4096, deployment.slotsPerServer));
    deployment.minServers = static_cast<int>(spec.readInteger("min_servers", 0, 100'000, deployment.minServers));
    deployment.maxServers = static_cast<int>(spec.readInteger("max_servers", 0, 100'000, deployment.maxServers));
    deployment.allowCheap = spec.readBool("allow_spot", deployment.allowCheap);
    deployment.contextLimit.count
        = spec.readInteger("context_limit_tokens", 1, 100'000'000, deployment.contextLimit.count);
    deployment.coldRequestsPerSecond = readDecimal(spec, "cold_requests_per_second", 0, maxRate, 0);
    if (deployment.maxServers < deployment.minServers) {
        spec.report("max_servers", "must not be less than min_servers");
    }
    return deployment;
}

ServiceSpec readService(JsonReader& spec, const std::string& name)
{
    ServiceSpec service;
    service.name = TargetName(name);
    service.slotsPerServer = static_cast<int>(spec.readInteger("slots_per_server", 1, 4096, service.slotsPerServer));
    service.coldRequestsPerSecond = readDecimal(spec, "cold_requests_per_second", 0, maxRate, 0);
    return service;
}

RouteSpec readRoute(JsonReader& spec)
{
    RouteSpec route;
    route.pathPrefix = spec.readString("path_prefix");
    if (!route.pathPrefix.starts_with('/') || route.pathPrefix.starts_with("/v1/")) {
        spec.report("path_prefix", "must start with / and not with /v1/");
    }
    route.service = TargetName(spec.readString("service"));
    route.className = ClassName(spec.readString("class"));
    route.open = spec.readBool("open", route.open);
    route.idempotentMethods = spec.readStrings("idempotent_methods", route.idempotentMethods);
    return route;
}

InstallationSpec readInstallation(JsonReader& spec, const std::string& name)
{
    InstallationSpec installation;
    installation.name = name;
    auto read = [&](std::string_view field, std::optional<Duration>& value) {
        if (spec.has(field)) {
            value = spec.readMilliseconds(field, 10ms, 1h);
        }
    };
    read("idle_timeout_ms", installation.idleTimeout);
    read("read_timeout_ms", installation.readTimeout);
    read("write_timeout_ms", installation.writeTimeout);
    read("grant_timeout_ms", installation.grantTimeout);
    read("connect_timeout_ms", installation.connectTimeout);
    read("first_byte_timeout_ms", installation.firstByteTimeout);
    read("token_gap_timeout_ms", installation.tokenGapTimeout);
    return installation;
}

void insertTier(JsonReader& spec, const std::string& name, Configuration& configuration)
{
    auto tier = readTier(spec);
    tier.name = name;
    auto [it, inserted] = configuration.tiers.try_emplace(tier.tier, tier);
    if (!inserted) {
        spec.report("level", fmt::format("is the level of tier '{}' already", it->second.name));
    }
}

void insertInstallation(JsonReader& spec, const std::string& name, Configuration& configuration)
{
    auto installation = readInstallation(spec, name);
    if (configuration.installation) {
        spec.report("",
            fmt::format(
                "there is installation '{}' already, and only one may exist", configuration.installation->name));
        return;
    }
    configuration.installation = std::move(installation);
}

bool isName(std::string_view text)
{
    auto isControl = [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; };
    return !text.empty() && text.size() <= 128 && std::ranges::none_of(text, isControl);
}

} // namespace

std::optional<ObjectKey> readObjectKey(JsonReader& object)
{
    ObjectKey key { object.readString("kind"), object.readString("name") };
    auto before = object.errorCount();
    if (object.has("kind") && !std::ranges::count(objectKinds, key.kind)) {
        object.report("kind", fmt::format("must be one of {}", fmt::join(objectKinds, ", ")));
    }
    if (object.has("name") && !isName(key.name)) {
        object.report("name", "must have 1 to 128 bytes and no control characters");
    }
    if (key.kind.empty() || key.name.empty() || object.errorCount() > before) {
        return std::nullopt;
    }
    return key;
}

void insertObject(JsonReader& spec, const ObjectKey& key, Configuration& configuration)
{
    const auto& [kind, name] = key;
    if (kind == "tier") {
        insertTier(spec, name, configuration);
    } else if (kind == "class") {
        configuration.classes[ClassName(name)] = readClass(spec, name);
    } else if (kind == "team") {
        configuration.teams[TeamId(name)] = readTeam(spec, name);
    } else if (kind == "deployment") {
        configuration.deployments[TargetName(name)] = readDeployment(spec, name);
    } else if (kind == "service") {
        configuration.services[TargetName(name)] = readService(spec, name);
    } else if (kind == "route") {
        configuration.routes[name] = readRoute(spec);
    } else {
        assert(kind == "installation");
        insertInstallation(spec, name, configuration);
    }
    spec.rejectUnknownFields();
}

bool eraseObject(const ObjectKey& key, Configuration& configuration)
{
    const auto& kind = key.kind;
    const auto& name = key.name;
    if (kind == "tier") {
        return std::erase_if(configuration.tiers, [&](const auto& it) { return nameOfTier(it.second) == name; }) > 0;
    }
    if (kind == "installation") {
        bool found = configuration.installation && configuration.installation->name == name;
        if (found) {
            configuration.installation.reset();
        }
        return found;
    }
    return (kind == "class" && configuration.classes.erase(ClassName(name)))
        || (kind == "team" && configuration.teams.erase(TeamId(name)))
        || (kind == "deployment" && configuration.deployments.erase(TargetName(name)))
        || (kind == "service" && configuration.services.erase(TargetName(name)))
        || (kind == "route" && configuration.routes.erase(name));
}

std::string nameOfTier(const TierSpec& tier)
{
    return tier.name.empty() ? fmt::format("tier-{}", tier.tier.level) : tier.name;
}

std::string toString(const ObjectKey& key)
{
    return fmt::format("{}/{}", key.kind, key.name);
}

} // namespace lagoonspoke
