#include "config/ObjectWriter.h"

#include "config/CanonicalJson.h"

namespace lagoonspoke {

namespace json = boost::json;

namespace {

std::int64_t countMilliseconds(Duration duration)
{
    return duration / std::chrono::milliseconds(1);
}

json::array writeStrings(const std::vector<std::string>& strings)
{
    json::array array;
    for (const auto& it : strings) {
        array.emplace_back(it);
    }
    return array;
}

template <typename Id> json::array writeIds(const std::vector<Id>& ids)
{
    json::array array;
    for (const auto& it : ids) {
        array.emplace_back(it.value());
    }
    return array;
}

template <typename T> void writeOptional(json::object& object, const char* field, const std::optional<T>& value)
{
    if (value) {
        object[field] = *value;
    }
}

json::object writeSpec(const TierSpec& tier)
{
    return { { "level", tier.tier.level }, { "guaranteed_share", tier.guaranteedShare } };
}

json::object writeSpec(const ClassSpec& spec)
{
    return { { "tier", spec.tier.level }, { "first_token_target_ms", countMilliseconds(spec.firstTokenTarget) },
        { "token_gap_target_ms", countMilliseconds(spec.tokenGapTarget) },
        { "deadline_ms", countMilliseconds(spec.deadline) }, { "max_queued", spec.maxQueued } };
}

json::object writeSpec(const TeamSpec& team)
{
    json::object limits;
    writeOptional(limits, "requests_per_second", team.limits.requestsPerSecond);
    writeOptional(limits, "tokens_per_second", team.limits.tokensPerSecond);
    writeOptional(limits, "concurrent", team.limits.concurrent);
    return { { "weight", team.weight }, { "limits", std::move(limits) }, { "keys", writeIds(team.keys) },
        { "classes", writeIds(team.classes) } };
}

// Earlier releases refuse fields that they do not know, so the field is written only where it says something.
void writeColdRate(json::object& spec, double requestsPerSecond)
{
    if (requestsPerSecond > 0) {
        spec["cold_requests_per_second"] = requestsPerSecond;
    }
}

json::object writeSpec(const DeploymentSpec& deployment)
{
    json::object spec { { "version", deployment.version }, { "adapters", writeStrings(deployment.adapters) },
        { "slots_per_server", deployment.slotsPerServer }, { "min_servers", deployment.minServers },
        { "max_servers", deployment.maxServers }, { "allow_spot", deployment.allowCheap },
        { "context_limit_tokens", deployment.contextLimit.count } };
    writeColdRate(spec, deployment.coldRequestsPerSecond);
    return spec;
}

json::object writeSpec(const ServiceSpec& service)
{
    json::object spec { { "slots_per_server", service.slotsPerServer } };
    writeColdRate(spec, service.coldRequestsPerSecond);
    return spec;
}

json::object writeSpec(const RouteSpec& route)
{
    return { { "path_prefix", route.pathPrefix }, { "service", route.service.value() },
        { "class", route.className.value() }, { "open", route.open },
        { "idempotent_methods", writeStrings(route.idempotentMethods) } };
}

json::object writeSpec(const InstallationSpec& installation)
{
    json::object spec;
    auto write = [&](const char* field, const std::optional<Duration>& value) {
        if (value) {
            spec[field] = countMilliseconds(*value);
        }
    };
    write("idle_timeout_ms", installation.idleTimeout);
    write("read_timeout_ms", installation.readTimeout);
    write("write_timeout_ms", installation.writeTimeout);
    write("grant_timeout_ms", installation.grantTimeout);
    write("connect_timeout_ms", installation.connectTimeout);
    write("first_byte_timeout_ms", installation.firstByteTimeout);
    write("token_gap_timeout_ms", installation.tokenGapTimeout);
    return spec;
}

template <typename Spec>
void writeObject(std::map<ObjectKey, std::string>& texts, const char* kind, const std::string& name, const Spec& spec)
{
    json::object object { { "kind", kind }, { "name", name }, { "spec", writeSpec(spec) } };
    texts.emplace(ObjectKey { kind, name }, serialiseCanonically(std::move(object)));
}

} // namespace

std::map<ObjectKey, std::string> writeObjects(const Configuration& configuration)
{
    std::map<ObjectKey, std::string> texts;
    for (const auto& [tier, spec] : configuration.tiers) {
        writeObject(texts, "tier", nameOfTier(spec), spec);
    }
    for (const auto& [name, spec] : configuration.classes) {
        writeObject(texts, "class", name.value(), spec);
    }
    for (const auto& [name, spec] : configuration.teams) {
        writeObject(texts, "team", name.value(), spec);
    }
    for (const auto& [name, spec] : configuration.deployments) {
        writeObject(texts, "deployment", name.value(), spec);
    }
    for (const auto& [name, spec] : configuration.services) {
        writeObject(texts, "service", name.value(), spec);
    }
    for (const auto& [name, spec] : configuration.routes) {
        writeObject(texts, "route", name, spec);
    }
    if (configuration.installation) {
        writeObject(texts, "installation", configuration.installation->name, *configuration.installation);
    }
    return texts;
}

std::string writeTeamSpec(const TeamSpec& team)
{
    return serialiseCanonically(writeSpec(team));
}

} // namespace lagoonspoke
