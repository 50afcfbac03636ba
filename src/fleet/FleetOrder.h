#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "lagoonspoke/core/FencingToken.h"
#include "lagoonspoke/core/Ids.h"

namespace lagoonspoke {

// Unique for each order of one data centre; the receiver takes an order with a known id as a repeat.
using FleetOrderId = std::string;

// Asks the backend server interface for one more backend server.
struct StartServer {
    TargetName target;
    bool spot = false;

    bool operator==(const StartServer&) const = default;
};
// Gives a drained backend server back.
struct StopServer {
    BackendServerId server;

    bool operator==(const StopServer&) const = default;
};
struct LoadModel {
    BackendServerId server;
    TargetName model;
    std::string version;

    bool operator==(const LoadModel&) const = default;
};
struct LoadAdapter {
    BackendServerId server;
    std::string adapter;

    bool operator==(const LoadAdapter&) const = default;
};
struct ChangeRole {
    BackendServerId server;
    std::string role;

    bool operator==(const ChangeRole&) const = default;
};

using FleetOrderBody = std::variant<StartServer, StopServer, LoadModel, LoadAdapter, ChangeRole>;

struct FleetOrder {
    FleetOrderId id;
    FleetOrderBody body;

    bool operator==(const FleetOrder&) const = default;
};

} // namespace lagoonspoke
