#pragma once

#include <string>
#include <vector>

#include "lagoonspoke/config/ConfigurationSnapshot.h"

namespace lagoonspoke {

using namespace std::chrono_literals;

// For tests: the traffic of one kind of request.
struct LoadClass {
    std::string name;
    int tier = 0;
    double perSecond = 0;
    int parts = 0;
    int shared = 0; // tokens
    int own = 0; // mean number of tokens
    int output = 0; // tokens
    Duration target;
    Duration gap;
    Duration deadline;
    double worth = 0;
    double lateWorth = 0;
};

// A sixth of the deployment's traffic on a sixth of its engines.
inline const std::vector<LoadClass> loadClasses {
    { "digest", 2, 30, 110, 5382, 6610, 380, 2s, 1s, 12s, 1.7, 0.87 },
    { "advice", 0, 25, 260, 198, 628, 290, 250ms, 250ms, 10s, 3.6, 0.57 },
    { "check", 1, 39, 420, 568, 1800, 20, 400ms, 400ms, 2500ms, 0.75, 0.38 },
};

inline SnapshotPtr makeReplaySnapshot()
{
    Configuration configuration;
    configuration.number = 1;
    for (const auto& it : loadClasses) {
        ClassSpec spec;
        spec.name = ClassName(it.name);
        spec.tier = Tier { static_cast<std::uint8_t>(it.tier) };
        spec.firstTokenTarget = it.target;
        spec.tokenGapTarget = it.gap;
        spec.deadline = it.deadline;
        spec.callerPatience = std::max({ Duration(2s), 4 * it.target, 8 * it.gap });
        spec.maxQueued = 1000;
        configuration.tiers.try_emplace(spec.tier, TierSpec { spec.tier });
        configuration.classes.emplace(spec.name, spec);
        RouteSpec route;
        route.className = spec.name;
        route.service = TargetName("m");
        route.streamed = true;
        configuration.routes.emplace(it.name, route);
    }
    DeploymentSpec deployment;
    deployment.name = TargetName("m");
    deployment.tokensPerEvent = 10;
    deployment.memoryPerServer = { 396'121 };
    configuration.deployments.emplace(deployment.name, deployment);
    return ConfigurationSnapshot::Make(std::move(configuration));
}

} // namespace lagoonspoke
