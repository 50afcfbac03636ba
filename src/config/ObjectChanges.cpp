#include "config/ObjectChanges.h"

#include <algorithm>

#include <absl/container/flat_hash_map.h>
#include <fmt/format.h>

namespace lagoonspoke {

namespace {

struct Replacement {
    ObjectKey key;
    JsonReader spec;
};

// Collects the mistakes of a configuration as a whole.
class ReferenceChecker {
public:
    ReferenceChecker(const Configuration& configuration, const Configuration& before, const ObjectPaths& paths,
        std::vector<Error>& errors)
        : m_configuration(configuration)
        , m_before(before)
        , m_paths(paths)
        , m_errors(errors)
    {
    }

    void check()
    {
        checkTiers();
        checkClasses();
        checkTeams();
        checkTargets();
        checkRoutes();
    }

private:
    // An empty field stands for the object's name. The mistake is named at the object that has the field if the change
    // contains that object, otherwise at the changed object that the field refers to.
    void report(const ObjectKey& object, const std::string& field, const ObjectKey& other, const std::string& message)
    {
        Error error { ErrorCode::InvalidArgument, message };
        if (auto it = m_paths.find(object); it != m_paths.end()) {
            error.path = field.empty() ? it->second + ".name" : fmt::format("{}.spec.{}", it->second, field);
        } else if (auto changed = m_paths.find(other); changed != m_paths.end()) {
            error.path = fmt::format("{}.spec", changed->second);
            error.message = fmt::format("breaks {} of {}: {}", field, toString(object), message);
        } else {
            error.path = fmt::format("{}.{}", toString(object), field);
        }
        // A field that could not be read is not reported a second time.
        if (std::ranges::none_of(m_errors, [&](const auto& it) { return it.path == error.path; })) {
            m_errors.push_back(std::move(error));
        }
    }

    void checkTiers()
    {
        double sum = 0;
        for (const auto& [tier, spec] : m_configuration.tiers) {
            sum += spec.guaranteedShare;
        }
        // Six decimals are kept of each share.
        if (sum <= 1 + 1e-6) {
            return;
        }
        for (const auto& [tier, spec] : m_configuration.tiers) {
            ObjectKey key { "tier", nameOfTier(spec) };
            if (m_paths.contains(key)) {
                report(key, "guaranteed_share", key, fmt::format("the shares of all tiers add up to {}, above 1", sum));
            }
        }
    }

    void checkClasses()
    {
        for (const auto& [name, spec] : m_configuration.classes) {
            if (!m_configuration.tiers.contains(spec.tier)) {
                auto former = m_before.tiers.find(spec.tier);
                ObjectKey tier { "tier", former == m_before.tiers.end() ? "" : nameOfTier(former->second) };
                report({ "class", name.value() }, "tier", tier,
                    fmt::format("there is no tier of level {}", spec.tier.level));
            }
        }
    }

    void checkTeams()
    {
        absl::flat_hash_map<std::string_view, const TeamSpec*> owners;
        for (const auto& [name, team] : m_configuration.teams) {
            for (std::size_t i = 0; i < team.classes.size(); ++i) {
                checkClass({ "team", name.value() }, fmt::format("classes[{}]", i), team.classes[i]);
            }
            for (std::size_t i = 0; i < team.keys.size(); ++i) {
                auto [owner, inserted] = owners.emplace(std::string_view(team.keys[i].value()), &team);
                if (!inserted && owner->second != &team) {
                    report({ "team", name.value() }, fmt::format("keys[{}]", i),
                        { "team", owner->second->name.value() },
                        fmt::format("is a key of team '{}' already", owner->second->name.value()));
                }
            }
        }
    }

    void checkClass(const ObjectKey& object, const std::string& field, const ClassName& className)
    {
        if (!m_configuration.classes.contains(className)) {
            report(object, field, { "class", className.value() },
                fmt::format("there is no class '{}'", className.value()));
        }
    }

    void checkTargets()
    {
        for (const auto& [name, service] : m_configuration.services) {
            if (m_configuration.deployments.contains(name)) {
                ObjectKey object { "service", name.value() };
                ObjectKey deployment { "deployment", name.value() };
                report(m_paths.contains(object) ? object : deployment, "", deployment,
                    "a service and a deployment cannot have the same name");
            }
        }
    }

    void checkRoutes()
    {
        std::map<std::string_view, std::string> owners;
        for (const auto& [name, route] : m_configuration.routes) {
            ObjectKey object { "route", name };
            if (!m_configuration.services.contains(route.service)) {
                report(object, "service", { "service", route.service.value() },
                    fmt::format("there is no service '{}'", route.service.value()));
            }
            checkClass(object, "class", route.className);
            if (auto [owner, inserted] = owners.emplace(route.pathPrefix, name); !inserted) {
                report(object, "path_prefix", { "route", owner->second },
                    fmt::format("is the prefix of route '{}' already", owner->second));
            }
        }
    }

    const Configuration& m_configuration;
    const Configuration& m_before;
    const ObjectPaths& m_paths;
    std::vector<Error>& m_errors;
};

} // namespace

ObjectPaths applyObjects(std::vector<JsonReader> objects, Configuration& configuration, AbsentObjects absent)
{
    ObjectPaths paths;
    std::vector<Replacement> replacements;
    for (auto& object : objects) {
        auto key = readObjectKey(object);
        bool deleted = object.takeNull("spec");
        auto spec = deleted ? std::nullopt : object.readObject("spec");
        object.rejectUnknownFields();
        if (!spec && !deleted) {
            object.report("spec", "is missing; null deletes the object");
        }
        if (!key) {
            continue;
        }
        if (auto [it, inserted] = paths.emplace(*key, object.path()); !inserted) {
            object.report("name", fmt::format("{} is listed at {} already", toString(*key), it->second));
            continue;
        }
        bool existed = eraseObject(*key, configuration);
        if (spec) {
            replacements.push_back({ std::move(*key), std::move(*spec) });
        } else if (deleted && !existed && absent == AbsentObjects::Report) {
            object.report("name", fmt::format("there is no {} '{}' to delete", key->kind, key->name));
        }
    }
    for (auto& [key, spec] : replacements) {
        insertObject(spec, key, configuration);
    }
    return paths;
}

void checkReferences(const Configuration& configuration, const Configuration& before, const ObjectPaths& paths,
    std::vector<Error>& errors)
{
    ReferenceChecker(configuration, before, paths, errors).check();
}

} // namespace lagoonspoke
